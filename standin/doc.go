// Package standin holds small stand-ins for the platform and for targets, and
// a load tool. None of it ships with the product.
package standin

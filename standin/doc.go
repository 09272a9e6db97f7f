// Package standin contains test doubles (stand-ins) for the platform and the
// targets, and a load generator. None of it is part of the product.
package standin

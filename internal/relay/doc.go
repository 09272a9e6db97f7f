// Package relay sends the orders for workers through other daemons. The holder of a
// pool decides on every order and grants every lease under its fencing token; a
// relay only carries the orders out and reports the answers. One message carries many
// orders, or many answers, so that a pool costs its holder far less than a call for
// each order.
package relay

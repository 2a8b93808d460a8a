// Package routing matches calls to routes and identifies their callers. It holds the table of routes
// and client accounts of one configuration, and the newest table known to a node.
package routing

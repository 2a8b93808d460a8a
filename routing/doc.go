// Package routing knows by which route a call comes in and who makes it: the table of
// routes and client accounts of one configuration, and the newest table that a node has
// heard of.
package routing

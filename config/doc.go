// Package config knows what operators declare: templates, routes, policies,
// accounts, halls and drains, gathered into a Set that is published as one
// Revision.
//
// Each kind is an aggregate that refuses to be built wrong, and a Set checks
// what its members say of each other. All of them are immutable once built; a
// change makes a new Set.
package config

// Package config defines the declarations of operators: templates, routes, policies,
// accounts, halls and drains. Together they form a Set, which is published as one
// Revision.
//
// Each declaration validates itself, and a Set also validates the references between
// its declarations. All values are immutable; a change returns a new Set.
package config

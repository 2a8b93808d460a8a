// Package placement chooses the worker for a task, from an index over what is
// free, so that a decision does not look at every worker.
//
// The index keeps the workers in cells by free accelerators, processors and
// memory. The bounds of processors and memory grow geometrically, four to each
// doubling. A decision walks the cells that can hold the task in the order that
// the scorer prefers, and scores the first few workers that pass its rules.
// Only the cells on the lower bounds hold workers that turn out too small.
package placement

// Package placement chooses the worker for a task from an index of free
// resources, which avoids examining every worker.
//
// The index groups workers into cells by free accelerators, CPU and memory. The
// bucket bounds for CPU and memory grow geometrically, with four buckets per
// doubling. Choose visits the cells that can hold the task in the order that the
// scorer prefers and scores a bounded number of eligible workers. Only cells in
// the lowest matching buckets can contain workers that are too small.
package placement

// Package sizeclass classifies a job by its size among the recent jobs of its queue.
//
// Jobs are compared only within a queue, because queues differ in size by orders of magnitude. The
// scheduler logs and counts jobs by class, and decides by it which late gangs must not starve.
//
// All types are immutable values.
package sizeclass

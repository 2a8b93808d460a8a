// Package fit scores the workers that have room for a task.
//
// Scoring is best fit: a task goes to the worker with the least capacity left, which keeps
// other workers free for large tasks and gangs. Workers that fail, are slow or are far from the
// input data rank last, because a lost or slow attempt costs more than fragmentation.
package fit

// Package fit scores the workers that have room for a task.
//
// Scoring is best fit: a task goes to the worker with the least capacity left, which keeps
// other workers free for large tasks and gangs. Workers that fail, are slow or are far from the
// input data rank last, because a lost or slow attempt costs more than fragmentation. The load that
// this is designed for has tasks of 9, 5 and 3.5 processors on workers of 32, most of them small,
// and gangs of twenty tasks of 9 processors.
package fit

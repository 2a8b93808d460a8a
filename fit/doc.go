// Package fit rates the workers that have room for a task.
//
// The load that it answers: tasks of 9, 5 and 3.5 processors on workers of 32, most of them small
// and many, some in gangs of twenty that need whole gaps of 9. A task goes where the least is
// left, so that other workers stay whole. Workers that fail, are slow or far from the data come
// last, since an attempt that is lost there costs more than any gap.
//
// Everything here is a value.
package fit

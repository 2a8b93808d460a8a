// Package job defines jobs, their tasks and the attempts to run a task.
//
// A job is created from a template on behalf of an account. It stores a copy of the
// template, so later configuration changes do not affect batch jobs that already exist.
// A job consists of one or more tasks, and a task is run by one attempt at a time. A task
// has a table row only if its state differs from that of a new task. Creating a job thus
// takes one row regardless of its number of tasks.
package job

// Package job knows jobs, their tasks and the attempts to run a task.
//
// A job is created from a template for an account and keeps the template as it
// was, so that a later change of configuration leaves work under way alone. It
// has a number of tasks. A task is run by attempts, one at a time; the table
// has a row for a task only once there is something to remember beyond "not
// started", so that inserting a job costs one row however many tasks it has.
package job

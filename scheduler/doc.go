// Package scheduler runs the jobs of one shard on the shard's workers. A
// Scheduler exists for one leadership term of the shard's owner; the next owner
// rebuilds the state from the row store and from the workers' reports.
//
// # Write ordering
//
// A job's record is in the store before its submitter is told that the job is
// accepted. A task's grant (which attempt, on which worker) is in the store
// before the worker is told to start it, so that the next owner knows which
// attempts may be running where. The end of an attempt is in the store before
// the worker is allowed to forget it, before the job is reported as final, and
// no later than the transaction of any start that depends on it. Changes made
// close together share a transaction (commit.go).
//
// # When an attempt is over
//
// A task is given to another worker only after its last attempt is certain to be
// over, that is, if one of these holds:
//   - the worker's report listed its end;
//   - the worker confirmed a stop, and a later report did not list the attempt;
//   - a later incarnation of the worker answered;
//   - the worker's lease has expired since the last call that could have
//     extended it.
//
// # Tasks that crash their workers
//
// A worker that has ended reports nothing about the tasks that ran on it. The
// owner counts, for each task, the workers that were lost while running it and
// have ended (crash.go), and fails the job when a task exceeds the limit. A step
// under suspicion is placed on trial, so that another crash shows which task
// causes it (trial.go).
//
// # Capacity
//
// A worker's capacity and an account's quota can change at any time. They are
// checked when a task is placed and again before each call that starts it. An
// attempt that is being stopped occupies capacity until it is over.
package scheduler

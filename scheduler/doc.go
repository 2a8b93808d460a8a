// Package scheduler runs the jobs of one shard on the shard's workers, as its
// owner. A Scheduler lives for one term; a successor loads a new one from the
// row store and from the workers' own lists.
//
// # What is written, and when
//
// A job's record is in the store before its caller is told that it is accepted.
// A task's grant (which attempt, on which worker) is in the store before the
// worker is told to start it, so that a successor knows what may run where. An
// end is in the store before the worker is allowed to forget it, before the job
// is shown as final, and in or before the transaction of any start that depends
// on it. All changes of a moment share a transaction (commit.go).
//
// # When an attempt is over
//
// A task is given to another worker only when its last attempt is over for
// certain: its end was listed; or the worker answered a stop and a later report
// did not show it; or another life of the worker answered; or the worker's lease
// has run out since the last order that could have extended it.
//
// # Tasks under which workers end
//
// A worker that has ended lists nothing of what ran there. The owner counts for each
// task the workers that were lost with it and have ended (crash.go), gives up one with
// too many, and tries a step under suspicion where another end tells whose doing it is
// (trial.go).
//
// # Room
//
// What a worker has may change while it runs. Room is looked at when a task is placed,
// and again before its start is first sent; what is being stopped still takes room.
package scheduler

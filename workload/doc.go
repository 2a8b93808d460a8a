// Package workload knows jobs that callers hand in: a request of dependent steps
// of tasks, the queue it came by, and how far it has got. Requests and queues
// are values; Progress is what a successor needs to go on with a job.
package workload

// Package workload defines the jobs that clients submit: the request with its steps and
// their dependencies, the policy of the queue, and the progress of the job. Requests and
// queues are immutable. Progress is the persistent state from which another node resumes a
// job.
package workload

// Package reliability tracks how attempts end on a worker, to keep work away from failing workers.
//
// A worker that fails every task at once always has room, so that on a full fleet it attracts new
// tasks and uses up their attempts, however low it is scored. Repeated failures therefore put a
// worker into quarantine for a time, and a single task probes it afterwards. When one worker in
// twenty failed every task for 7 s, this caused 850 of the 1,360 failed attempts of a day, 93 of
// them on a single worker.
//
// A Record is immutable, and the current time is passed as an argument.
package reliability

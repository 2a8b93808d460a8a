package fleettest

import (
	"fmt"
	"strings"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

const (
	// RestartTime is the time from the crash of a worker to the start of the next incarnation
	// at its address.
	RestartTime = 3200 * time.Millisecond
	// entryTTL is how long discovery lists a worker after its process has ended.
	entryTTL = 3 * time.Second
	// A task that has crashed maxCrashes workers may be started maxRetries more times if it crashes them at its
	// start. One that crashes them later cannot be told from a sound task whose workers end: it must not be given
	// up, but must not be started within minStartDelay of its last crash.
	maxCrashes    = 3
	maxRetries    = 2
	lateCrashTime = 100 * time.Millisecond
	minStartDelay = 2 * time.Second
)

// crashRecord counts the crashes caused by a task.
type crashRecord struct {
	workers     int
	starts      int // after maxCrashes crashes
	lateCrashes int // at least lateCrashTime after a start
	lastCrash   time.Time
}

// crashWorker records that a task has crashed its worker after it worked for a time, and restarts the worker.
func (f *Fleet) crashWorker(w *worker, task workload.TaskID, worked time.Duration) {
	name := task.String()
	if f.crashes[name] == nil {
		f.crashes[name] = new(crashRecord)
	}
	f.crashes[name].workers++
	f.crashes[name].lastCrash = time.Now()
	if worked >= lateCrashTime {
		f.crashes[name].lateCrashes++
	}
	if f.sameIDRestartDelay > 0 {
		f.restartSameID(w, f.sameIDRestartDelay)
		return
	}
	f.restart(w)
}

// SetSameIDRestart makes workers that are crashed by tasks restart under the same id after a
// pause. By default they restart under a new id.
func (f *Fleet) SetSameIDRestart(pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sameIDRestartDelay = pause
}

// checkCrashes records a violation if a task is started too often, or too soon, after crashing workers.
func (f *Fleet) checkCrashes(task workload.TaskID) {
	c := f.crashes[task.String()]
	if c == nil || c.workers < maxCrashes {
		return
	}
	if c.lateCrashes == c.workers {
		if delay := time.Since(c.lastCrash); delay < minStartDelay {
			f.violation("%s was started %v after it had crashed its last of %d workers, want at least %v", task, delay, c.workers, minStartDelay)
		}
		return
	}
	if c.starts++; c.starts == maxRetries+1 { // recorded once per task
		f.violation("%s was started %d times after it had crashed %d workers", task, c.starts, maxCrashes)
	}
}

// Restart ends a worker like a crash of its process: its connections break at once, and an
// incarnation with another id starts at its address after RestartTime.
func (f *Fleet) Restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart(f.workers[id])
}

func (f *Fleet) restart(w *worker) {
	w.refusesConnections = true
	f.terminate(w)
	f.restarts++
	f.observer.ProcessEnded(w.info.ID)
	next := w.info
	next.ID = fmt.Sprintf("%s-life-%d", firstID(w), f.restarts)
	observer := f.observer
	time.AfterFunc(entryTTL, func() {
		f.Delist(w.info.ID)
		observer.EntryExpired(w.info.ID)
	})
	time.AfterFunc(RestartTime, func() {
		f.addAtAddress(next, firstID(w))
		f.mu.Lock()
		w.replaced = true
		f.mu.Unlock()
		observer.ProcessStarted(w.info.ID, next)
	})
}

// RestartSameID ends a worker like a crash of its process and restarts it under the same id after
// a pause. Discovery lists the former incarnation until then.
func (f *Fleet) RestartSameID(id string, pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; !w.dead {
		f.restartSameID(w, pause)
	}
}

func (f *Fleet) restartSameID(w *worker, pause time.Duration) {
	id := w.info.ID
	w.refusesConnections = true
	f.terminate(w)
	for _, end := range w.ended { // the next incarnation does not report them
		f.succeeded[end.Task] = f.succeeded[end.Task] || end.Outcome == fleet.Done
	}
	f.restarts++
	f.observer.ProcessEnded(id)
	observer := f.observer
	time.AfterFunc(pause, func() {
		f.mu.Lock()
		next := w.info // includes a Resize during the pause
		next.StartTime = f.nextStartTime(w)
		next.Draining = false
		f.addIncarnation(next)
		f.workers[id].firstID = w.firstID
		f.mu.Unlock()
		observer.ProcessStarted(id, next)
	})
}

// nextStartTime returns the StartTime of an incarnation that starts now. It differs from that of the
// former one, and is 0 if the former one had none.
func (f *Fleet) nextStartTime(former *worker) int64 {
	formerStartTime := former.info.StartTime
	if formerStartTime == 0 {
		return 0
	}
	now := time.Now().Add(f.wallClockOffset).UnixMilli()
	if now == formerStartTime {
		now++
	}
	return now
}

// StepWallClock steps the wall clock of all workers, from which StartTime is taken.
func (f *Fleet) StepWallClock(by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wallClockOffset += by
}

// Observer receives the starts and ends of worker processes, for a discovery service other than
// Fleet.List.
type Observer interface {
	// ProcessEnded is called when a worker's process has ended and its connections are closed.
	ProcessEnded(id string)
	// EntryExpired is called when the entry of a worker that has ended expires.
	EntryExpired(id string)
	// ProcessStarted is called when another incarnation has started at the address of a former one.
	ProcessStarted(former string, next fleet.Worker)
}

type noopObserver struct{}

func (noopObserver) ProcessEnded(string)                 {}
func (noopObserver) EntryExpired(string)                 {}
func (noopObserver) ProcessStarted(string, fleet.Worker) {}

// SetObserver makes the fleet report starts and ends of worker processes to observer.
func (f *Fleet) SetObserver(observer Observer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observer = observer
}

// firstIDOf returns the id of the first incarnation at the address of a worker.
func (f *Fleet) firstIDOf(id string) string {
	if w := f.workers[id]; w != nil {
		return firstID(w)
	}
	return id
}

// firstID returns the id of the first incarnation at a worker's address.
func firstID(w *worker) string {
	if w.firstID != "" {
		return w.firstID
	}
	return w.info.ID
}

// CrashedWorkers returns the number of workers that a task has crashed.
func (f *Fleet) CrashedWorkers(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.crashes[task]; c != nil {
		return c.workers
	}
	return 0
}

// MaxWorkersLost returns the number of workers that ended while they ran the same task of a job,
// for the task with the most.
func (f *Fleet) MaxWorkersLost(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for name, count := range f.workersLost {
		if strings.HasPrefix(name, job+".") {
			most = max(most, count)
		}
	}
	return most
}

// Restarts returns the number of worker processes that ended and were, or will be, started again.
func (f *Fleet) Restarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restarts
}

// addAtAddress adds a worker at the address whose first incarnation is firstID.
func (f *Fleet) addAtAddress(info fleet.Worker, firstID string) {
	f.Add(info)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[info.ID].firstID = firstID
}

// Alive reports whether a worker's process is running.
func (f *Fleet) Alive(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	return w != nil && !w.dead
}

// PlanOf returns the plan of a job that was registered with RegisterJob.
func (f *Fleet) PlanOf(job string) func(workload.TaskID, int) Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs[job].Plan
}

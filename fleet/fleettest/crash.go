package fleettest

import (
	"fmt"
	"strings"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

const (
	// RestartTime is how long the process of a worker that has crashed is away, and
	// listedFor how long discovery goes on naming the life that is over: three heartbeats.
	RestartTime = 3200 * time.Millisecond
	listedFor   = 3 * time.Second
	// mostCrashes is how many workers may crash under a task before its starts are
	// counted, and mostRetries how many more starts it may then have.
	mostCrashes = 3
	mostRetries = 2
)

// crashes is what the judge has seen of a task that crashes its workers.
type crashes struct {
	workers int
	starts  int // after mostCrashes
}

// crashUnder ends the process of the worker on which a task has just run to the end of its
// plan.
func (f *Fleet) crashUnder(w *worker, task workload.TaskID) {
	name := task.String()
	if f.crashes[name] == nil {
		f.crashes[name] = new(crashes)
	}
	f.crashes[name].workers++
	if f.crashAway > 0 {
		f.startAgain(w, f.crashAway)
		return
	}
	f.restart(w)
}

// SetStartAgain has workers that tasks crash start again under their ids after a pause.
func (f *Fleet) SetStartAgain(pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashAway = pause
}

// judgeCrashes looks at a start of a task that may have crashed workers.
func (f *Fleet) judgeCrashes(task workload.TaskID) {
	c := f.crashes[task.String()]
	if c == nil || c.workers < mostCrashes {
		return
	}
	if c.starts++; c.starts == mostRetries+1 { // said once
		f.breaks("%s was started %d times after %d workers had crashed under it", task, c.starts, mostCrashes)
	}
}

// Restart ends the process of a worker, as a crash does. Its connections break at once, and
// another life takes its address after RestartTime.
func (f *Fleet) Restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restart(f.workers[id])
}

func (f *Fleet) restart(w *worker) {
	w.closed = true
	f.die(w)
	f.lives++
	f.news.Ended(w.info.ID)
	next := w.info
	next.ID = fmt.Sprintf("%s-life-%d", baseOf(w), f.lives)
	news := f.news
	time.AfterFunc(listedFor, func() {
		f.Drop(w.info.ID)
		news.Gone(w.info.ID)
	})
	time.AfterFunc(RestartTime, func() {
		f.add(next, baseOf(w))
		f.mu.Lock()
		w.replaced = true
		f.mu.Unlock()
		news.Born(w.info.ID, next)
	})
}

// StartAgain ends the process of a worker, as a crash does, and starts it again under its id
// after a pause. Discovery names the former life until the next one begins.
func (f *Fleet) StartAgain(id string, pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; !w.dead {
		f.startAgain(w, pause)
	}
}

func (f *Fleet) startAgain(w *worker, pause time.Duration) {
	id := w.info.ID
	w.closed = true
	f.die(w)
	for _, end := range w.ended { // they are listed no more, and have been all the same
		f.well[end.Task] = f.well[end.Task] || end.Outcome == fleet.Done
	}
	f.lives++
	f.news.Ended(id)
	news := f.news
	time.AfterFunc(pause, func() {
		f.mu.Lock()
		next := w.info // it may have been resized meanwhile
		next.Born = f.bornNow(w)
		next.Draining = false
		f.addLife(next)
		f.workers[id].base = w.base
		f.mu.Unlock()
		news.Born(id, next)
	})
}

// bornNow returns when a life that begins now says it was born: not when the former one was.
// A worker that never told does not tell now.
func (f *Fleet) bornNow(former *worker) int64 {
	born := former.info.Born
	if born == 0 {
		return 0
	}
	now := time.Now().Add(f.timeOfDay).UnixMilli()
	if now == born {
		now++
	}
	return now
}

// StepTimeOfDay moves the time of day of all workers, by which they tell when they were born.
func (f *Fleet) StepTimeOfDay(by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timeOfDay += by
}

// News is told of lives that end and begin, by a stand-in of discovery beside the fleet's
// own List.
type News interface {
	// Ended is called when a worker's process has ended and its connections with it.
	Ended(id string)
	// Gone is called when the entry of a life that has ended lapses.
	Gone(id string)
	// Born is called when another life has taken the address of a former one.
	Born(former string, next fleet.Worker)
}

type noNews struct{}

func (noNews) Ended(string)              {}
func (noNews) Gone(string)               {}
func (noNews) Born(string, fleet.Worker) {}

// Tell has lives that end and begin told to news.
func (f *Fleet) Tell(news News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.news = news
}

// placeOf returns the name of the first life at the address of a worker.
func (f *Fleet) placeOf(id string) string {
	if w := f.workers[id]; w != nil {
		return baseOf(w)
	}
	return id
}

// baseOf returns the name of the first life at a worker's address.
func baseOf(w *worker) string {
	if w.base != "" {
		return w.base
	}
	return w.info.ID
}

// Crashed returns how many workers a task has crashed.
func (f *Fleet) Crashed(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.crashes[task]; c != nil {
		return c.workers
	}
	return 0
}

// EndedUnder returns how many workers have ended under a task of a job: under the one with
// the most.
func (f *Fleet) EndedUnder(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for name, count := range f.under {
		if strings.HasPrefix(name, job+".") {
			most = max(most, count)
		}
	}
	return most
}

// Lives returns how many processes of workers have ended and were started again.
func (f *Fleet) Lives() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lives
}

// add adds a worker at the address of an earlier life.
func (f *Fleet) add(info fleet.Worker, base string) {
	f.Add(info)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[info.ID].base = base
}

// Alive reports whether a worker's process runs.
func (f *Fleet) Alive(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	return w != nil && !w.dead
}

// PlanOf returns the plan of a job that the judge knows.
func (f *Fleet) PlanOf(job string) func(workload.TaskID, int) Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[job].Plan
}

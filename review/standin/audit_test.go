package standin

import (
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"time"
)

var zones = []string{"sala-chipre", "sala-palermo", "sala-villamaria", "sala-lacabana"}

// record is the file record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) line(form string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, form+"\n", args...)
}

// audit counts what the workers have run, by job.
type audit struct {
	record *record
	mu     sync.Mutex
	jobs   map[string]*ran
	tasks  map[string]*taskRuns
	shown  int // starts recorded as TWICE
	// onStart, if not nil, is called after each start.
	onStart func(job string, attempt int, worker string)
}

// ran is what the workers have run of one job.
type ran struct {
	starts, running, done int
	ends                  map[string]int
	total                 int           // tasks; 0 until the job is accepted
	idleSince             time.Time     // since when nothing of it runs, although it is accepted and not done
	longestIdle           time.Duration // the longest such time so far
	overlaps              int           // starts of tasks that ran elsewhere at that time
}

// taskRuns is what the workers have run of one task.
type taskRuns struct {
	running int
	done    bool // a run has ended done
	noted   bool // and that end was taken note of
	again   int  // starts after such an end
}

// idle returns the longest time for which nothing of the job has run, although it was accepted and not done.
func (j *ran) idle() time.Duration {
	if j.idleSince.IsZero() || j.total == 0 {
		return j.longestIdle
	}
	return max(j.longestIdle, time.Since(j.idleSince))
}

// shownStarts is how many starts of a job are recorded one by one, and shownTwice how many second runs in all.
const (
	shownStarts = 3
	shownTwice  = 60
)

func (a *audit) job(id string) *ran {
	if a.jobs[id] == nil {
		a.jobs[id] = &ran{ends: map[string]int{}}
	}
	return a.jobs[id]
}

// accepted notes that a job with a number of tasks was accepted just now. It may have started before.
func (a *audit) accepted(id string, tasks int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.job(id)
	j.total = tasks
	if j.running == 0 && j.done < j.total {
		j.idleSince = time.Now()
	}
}

// cancelled notes that a job need not run any more.
func (a *audit) cancelled(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.job(id)
	j.longestIdle, j.total = j.idle(), 0
}

// stepOf returns the number of a task's step.
func stepOf(task string) string {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return ""
	}
	return parts[2]
}

func (a *audit) task(name string) *taskRuns {
	if a.tasks[name] == nil {
		a.tasks[name] = &taskRuns{}
	}
	return a.tasks[name]
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (a *audit) started(task string, attempt int, worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.job(jobOf(task))
	j.longestIdle, j.idleSince = j.idle(), time.Time{}
	t := a.task(task)
	if t.done {
		t.again++
	}
	if t.running > 0 {
		j.overlaps++
	}
	if (t.done || t.running > 0) && a.shown < shownTwice {
		a.shown++
		a.record.line("TWICE: worker %s starts %s#%d; a run of it has ended done: %v; runs at this time: %d", worker, task, attempt, t.done, t.running)
	}
	t.running++
	j.starts++
	j.running++
	if j.starts <= shownStarts {
		a.record.line("worker %s starts %s#%d", worker, task, attempt)
	}
	if a.onStart != nil {
		go a.onStart(jobOf(task), attempt, worker)
	}
}

func (a *audit) ended(task string, attempt int, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.job(jobOf(task))
	t := a.task(task)
	t.running--
	t.done = t.done || how == "done"
	j.running--
	j.ends[how]++
	if how == "done" {
		j.done++
	}
	if j.running == 0 && (j.total == 0 || j.done < j.total) {
		j.idleSince = time.Now()
	}
}

// noted notes that the owner has taken note of a task's end as done.
func (a *audit) noted(task string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.task(task).noted = true
}

// twice returns how many starts followed a run of the task that had ended done, where that end was taken note of then or
// later, and how many came while the task ran elsewhere.
func (a *audit) twice() (again, overlaps int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.tasks {
		if t.noted {
			again += t.again
		}
	}
	for _, j := range a.jobs {
		overlaps += j.overlaps
	}
	return again, overlaps
}

// of returns what the workers have run of a job.
func (a *audit) of(id string) ran {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := *a.job(id)
	j.ends = maps.Clone(j.ends)
	return j
}

package cases

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// judge keeps what workers saw of each task, and checks each start against the rules.
type judge struct {
	b     *bed
	mu    sync.Mutex
	tasks map[string]*taskView
	jobs  map[string]*jobView
	gangs map[string]*gang
	quiet bool // no check of jobs
}

type taskView struct {
	starts, done, failed, failedNoted int
	live                              map[*run]*worker
	lastEnd, lastStart, doneNoted     time.Time
	saved                             map[string]bool
}

// jobView is a job as its client handed it in.
type jobView struct {
	id, path    string
	spec        string
	steps       []stepView
	times       int
	startAt     time.Time
	interval    time.Duration
	accepted    bool
	allRejected bool
	cancelled   time.Time // when the cancelling was acknowledged
	askedCancel bool
	lasting     bool
}

type stepView struct {
	count     int
	cpu, mem  float64
	dependsOn []int
	label     string
	anti      int
	gang      bool
	lasting   bool
}

func newJudge(b *bed) *judge {
	return &judge{b: b, tasks: map[string]*taskView{}, jobs: map[string]*jobView{}, gangs: map[string]*gang{}}
}

func (j *judge) view(task string) *taskView {
	v := j.tasks[task]
	if v == nil {
		v = &taskView{live: map[*run]*worker{}, saved: map[string]bool{"": true}}
		j.tasks[task] = v
	}
	return v
}

func split(task string) (job string, k, step, index int) {
	f := strings.Split(task, ".")
	k, _ = strconv.Atoi(f[1])
	step, _ = strconv.Atoi(f[2])
	index, _ = strconv.Atoi(f[3])
	return f[0], k, step, index
}

// join makes a run a member of its gang, if it is one.
func (j *judge) join(r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id, k, step, _ := split(r.task)
	job := j.jobs[id]
	if job == nil || step >= len(job.steps) || !job.steps[step].gang {
		return
	}
	name := fmt.Sprintf("%s.%d.%d#%d", id, k, step, r.attempt)
	g := j.gangs[name]
	if g == nil {
		g = &gang{size: job.steps[step].count, members: map[string]bool{}}
		j.gangs[name] = g
	}
	r.gang = g
	g.mu.Lock()
	g.members[r.task] = true
	if len(g.members) == g.size && g.since.IsZero() {
		g.since = time.Now()
	}
	g.mu.Unlock()
}

func (j *judge) started(w *worker, r *run, o order) {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.view(r.task)
	if len(v.live) > 0 {
		j.b.breaks("TWICE: %s runs twice at the same time, the second time on %s", r.task, w.id)
	}
	if !v.doneNoted.IsZero() {
		j.b.breaks("TWICE: %s starts on %s after its end done was taken note of", r.task, w.id)
	}
	v.starts++
	v.lastStart = time.Now()
	v.live[r] = w
	id, k, step, index := split(r.task)
	job := j.jobs[id]
	if j.quiet {
		return
	}
	if job == nil || step >= len(job.steps) || index >= job.steps[step].count || k >= max(1, job.times) {
		j.b.breaks("UNASKED: %s on %s", r.task, w.id)
		return
	}
	if o.Spec != job.spec {
		j.b.breaks("UNASKED: %s starts with another spec: %q", r.task, o.Spec)
	}
	if !job.cancelled.IsZero() && time.Since(job.cancelled) > 3*time.Second {
		j.b.breaks("UNASKED: %s starts %v after its cancelling was acknowledged", r.task, time.Since(job.cancelled))
	}
	if job.allRejected {
		j.b.breaks("REFUSED: %s starts", r.task)
	}
	st := job.steps[step]
	if job.times > 0 {
		if early := time.Until(job.startAt.Add(time.Duration(k) * job.interval)); early > 250*time.Millisecond {
			j.b.breaks("ORDER: %s starts %v early", r.task, early)
		}
	}
	for _, d := range st.dependsOn {
		for i := range job.steps[d].count {
			name := fmt.Sprintf("%s.%d.%d.%d", id, k, d, i)
			if t := j.tasks[name]; (t == nil || t.done == 0) && !(job.steps[d].gang) {
				j.b.breaks("ORDER: %s starts before %s is done", r.task, name)
			}
		}
	}
	if st.label != "" {
		has := false
		for _, l := range w.labels {
			has = has || l == st.label
		}
		if !has {
			j.b.breaks("ROUTE: %s starts on %s without label %s", r.task, w.id, st.label)
		}
	}
	if !st.lasting && v.failedNoted >= 4 {
		j.b.breaks("BUDGET: %s starts after %d ends failed", r.task, v.failedNoted)
	}
	same, cpu := 0, 0.0
	for name, t := range j.tasks {
		for _, on := range t.live {
			if on != w {
				continue
			}
			oid, ok, ostep, _ := split(name)
			if oid == id && ok == k && ostep == step {
				same++
			}
			if oj := j.jobs[oid]; oj != nil && ostep < len(oj.steps) {
				cpu += oj.steps[ostep].cpu
			}
		}
	}
	if st.anti > 0 && same > st.anti {
		j.b.breaks("ROUTE: %d tasks of the step of %s on %s", same, r.task, w.id)
	}
	if cpu > w.cpu {
		j.b.breaks("LIMIT: %s brings %s to %v of %v", r.task, w.id, cpu, w.cpu)
	}
}

func (j *judge) ended(w *worker, r *run, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.view(r.task)
	delete(v.live, r)
	v.lastEnd = time.Now()
	switch how {
	case "done":
		v.done++
	case "failed":
		v.failed++
	}
}

// noted records that lastSeen has reached an end. lapsed says that the lease has lapsed since the end.
func (j *judge) noted(e end, lapsed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if lapsed {
		return
	}
	switch e.How {
	case "done":
		j.view(e.Task).doneNoted = time.Now()
	case "failed":
		j.view(e.Task).failedNoted++
	}
}

// running returns how many tasks of a job run now.
func (j *judge) running(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for task, v := range j.tasks {
		if jobOf(task) == job {
			count += len(v.live)
		}
	}
	return count
}

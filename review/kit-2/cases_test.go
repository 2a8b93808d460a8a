package kit2

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// work describes what a task really takes; it stands in the spec, which only workers read.
type work struct {
	MS  int `json:"ms"`
	CPU int `json:"cpu"`
	// FailsAfterMS is the mean time after which a task that lasts fails; 0: it does not.
	FailsAfterMS int `json:"failsAfterMs"`
	// Gang is the size of the step's gang; 0: it is none.
	Gang int `json:"gang"`
}

func spec(w ...work) string {
	data, err := json.Marshal(w)
	check(err)
	return string(data)
}

// gangOf reads the size of a task's gang from its job's spec.
func gangOf(text, task string) int {
	var list []work
	json.Unmarshal([]byte(text), &list)
	if step := stepOf(task); step < len(list) {
		return list[step].Gang
	}
	return 0
}

// taskWork reads the work of a task from its job's spec, by its step.
func taskWork(text, task string) (time.Duration, int, string) {
	var list []work
	json.Unmarshal([]byte(text), &list)
	step := stepOf(task)
	if step >= len(list) {
		return time.Second, 1000, "done"
	}
	w := list[step]
	if w.FailsAfterMS > 0 {
		return time.Duration(rand.ExpFloat64() * float64(w.FailsAfterMS) * float64(time.Millisecond)), w.CPU, "failed"
	}
	return time.Duration(w.MS) * time.Millisecond, w.CPU, "done"
}

func stepOf(task string) int {
	dots, step := 0, 0
	for _, r := range task {
		switch {
		case r == '.':
			dots++
		case dots == 2:
			step = 10*step + int(r-'0')
		}
	}
	return step
}

// lookup is a job as the page has it: one step of two tasks of 0.64 s on 1.4 cores.
func lookup() (string, string, submission) {
	return lookups, "lookups", submission{Spec: spec(work{MS: 640, CPU: 1400}), Phases: []phase{{Count: 2, CPU: 1400, Mem: 512, Estimate: 640}}}
}

// Times of the small deployment.
const (
	visible  = 3 * time.Second
	finish   = 14 * time.Second
	idleTime = 3 * time.Second
	// longestAsking is how long jobs are asked for in the end; those that are left then are not judged.
	longestAsking = 20 * time.Second
	notAsked      = "not asked"
	perNode       = 16000
)

// judgeLost checks LOST for all accepted jobs once the traffic has ended: whether each is known and answered, and
// whether one had nothing running for 3 s while there was room. It returns the number of jobs that break it.
func (c *Case) judgeLost(trafficEnd time.Time, skip func(*Job) bool) int {
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	var group sync.WaitGroup
	gate := make(chan struct{}, 64)
	stop := time.Now().Add(longestAsking)
	for _, j := range c.jobs {
		group.Go(func() {
			gate <- struct{}{}
			defer func() { <-gate }()
			if time.Now().Before(stop) {
				c.query(j)
			} else {
				j.state = notAsked
			}
		})
	}
	group.Wait()
	asked := time.Now()
	bad := 0
	for _, j := range c.jobs {
		if !j.isAccepted() || j.state == notAsked || skip != nil && skip(j) {
			continue
		}
		c.rec.Count("accepted "+j.name+", state in the end: "+j.state, 1)
		idle := c.longestIdle(j, asked)
		c.rec.Max("longest time with nothing running, ms, of accepted "+j.name, idle.Milliseconds())
		unknown := j.state != "queued" && j.state != "running" && j.state != "completed" && j.state != "failed" && j.state != "cancelled"
		if unknown || idle > idleTime && j.state != "completed" {
			bad++
			if bad <= 10 {
				c.rec.Log("judge", "LOST: %s (%s), accepted %.1f s after the start: state %q, nothing running for %.1f s",
					j.id, j.name, j.accepted.Sub(c.rec.begun).Seconds(), j.state, idle.Seconds())
			}
		}
	}
	return bad
}

// longestIdle returns the longest time from the job's acceptance, or the end of its last run, for which none of its
// tasks ran although not all had ended done and less than half of the service's capacity was in use.
func (c *Case) longestIdle(j *Job, until time.Time) time.Duration {
	half := c.fleet.alive() * perNode / 2
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if j.body.StartAt > until.UnixMilli() {
		return 0 // no task's turn has come
	}
	begun, longest, done, alive, used := j.accepted, time.Duration(0), 0, 0, 0
	note := func(at time.Time) {
		if alive == 0 && done < j.tasks() && used < half {
			longest = max(longest, at.Sub(begun))
		}
	}
	for _, e := range c.fleet.events {
		crossed := (used < half) != (e.used < half)
		if crossed || e.job == j.id {
			note(e.at)
		}
		if e.job == j.id {
			alive = e.alive
			if e.kind == "done" {
				done++
			}
		}
		used = e.used
		if crossed || e.job == j.id {
			begun = e.at
			if begun.Before(j.accepted) {
				begun = j.accepted
			}
		}
	}
	note(until)
	return longest
}

func init() {
	cases["wide-job"] = wideJob
	cases["long-schedule"] = longSchedule
	cases["crash"] = crash
	cases["gang"] = gangs
	cases["same-rack"] = sameRack
	cases["moved-queue"] = movedQueue
	cases["waiting-gang"] = waitingGang
	cases["grey"] = grey
}

// wideJob hands in one large job of tasks that last, beside usual traffic.
func wideJob(c *Case) int {
	c.platform(48)
	c.fleet.Work = taskWork
	c.startNodes(6, 0)
	c.awaitReady(20 * time.Second)
	c.rec.Log("case", "traffic begins")
	end := time.Now().Add(40 * time.Second)
	tasks := 500
	if c.trouble {
		tasks = 4000
	}
	large := make(chan *Job, 1)
	time.AfterFunc(8*time.Second, func() {
		j := c.submit(batches, "large job", submission{
			Spec:   spec(work{MS: 600, CPU: 500}, work{MS: lasting, CPU: 50}),
			Phases: []phase{{Count: 1, CPU: 500, Mem: 256, Estimate: 600}, {Count: tasks, CPU: 50, Mem: 64, Estimate: 1000, DependsOn: []int{0}, LongRunning: true}},
		})
		c.rec.Log("client", "large job %s of %d tasks handed in: answers %v", j.id, tasks, j.answers)
		large <- j
	})
	c.traffic(8, end, lookup)
	bad := c.judgeLost(end, func(j *Job) bool { return j.name == "large job" })
	c.rec.Log("judge", "%d accepted lookups break LOST", bad)
	idle := 0
	if j := <-large; j.isAccepted() {
		idle = c.idleLasting(j, 1, tasks)
		c.rec.Log("judge", "of %d lasting tasks %d have not run in the last %v: LOST if there is any", tasks, idle, lastingIdle)
	}
	for why, count := range c.store.refused {
		c.rec.Log("store", "%d transactions refused: %s", count, why)
	}
	if bad > 0 || idle > 0 {
		return broken
	}
	return held
}

const (
	// lasting is the work of a task that runs until its job is cancelled, in milliseconds.
	lasting = 3_600_000
	// lastingIdle is the time without a run of a lasting task that LOST allows.
	lastingIdle = 6 * time.Second
)

// idleLasting returns how many tasks of a step of a job have not run for lastingIdle.
func (c *Case) idleLasting(j *Job, step, tasks int) int {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	lastEnd, running := map[string]time.Time{}, map[string]int{}
	for _, e := range f.events {
		switch {
		case e.job != j.id:
		case e.kind == "start":
			running[e.task]++
		default:
			running[e.task]--
			lastEnd[e.task] = e.at
		}
	}
	idle := 0
	for i := range tasks {
		name := fmt.Sprintf("%s.0.%d.%d", j.id, step, i)
		if running[name] == 0 && time.Since(lastEnd[name]) > lastingIdle {
			idle++
		}
	}
	c.rec.Max("in use at the end, thousandths of a core", int64(f.used))
	return idle
}

// schedules is how many jobs with a schedule are handed in, one a second.
const schedules = 16

// longSchedule hands in jobs that run each minute, none of which is due yet, beside usual traffic.
func longSchedule(c *Case) int {
	c.platform(48)
	c.fleet.Work = taskWork
	c.startNodes(6, 284)
	c.awaitReady(20 * time.Second)
	c.rec.Log("case", "traffic begins")
	end := time.Now().Add(45 * time.Second)
	times := 10
	if c.trouble {
		times = 10000
	}
	first := time.Now().Add(time.Hour).UnixMilli()
	for i := range schedules {
		time.AfterFunc(time.Duration(5+i)*time.Second, func() {
			j := c.submit(batches, "scheduled jobs", submission{
				Spec:   spec(work{MS: 2200, CPU: 980}),
				Phases: []phase{{Count: 4, CPU: 980, Mem: 512, Estimate: 2200, Checkpointing: true}},
				Repeat: times, StartAt: first, Interval: 60000,
			})
			c.rec.Log("client", "job %s of %d times handed in: answers %v", j.id, times, j.answers)
		})
	}
	c.traffic(8, end, lookup)
	bad := c.judgeLost(end, nil)
	ends := 0
	for _, n := range c.nodes {
		if c.rec.Get("ends of processes of "+n.name) >= 3 {
			ends++
		}
	}
	c.rec.Log("judge", "%d accepted jobs break LOST; processes of %d machines have ended three times", bad, ends)
	if bad > 0 || ends >= 2 {
		return broken
	}
	return held
}

// crash ends one worker for good beside usual traffic and many services of tasks that last.
func crash(c *Case) int {
	const services, tasks = 55, 560
	c.platform(48)
	c.fleet.Work = taskWork
	c.startNodes(6, 0)
	c.awaitReady(20 * time.Second)
	c.rec.Log("case", "traffic begins")
	end := time.Now().Add(35 * time.Second)
	for i := range services {
		time.AfterFunc(time.Duration(i)*200*time.Millisecond, func() {
			c.submit(batches, "services", submission{
				Spec:   spec(work{MS: lasting, CPU: 10}),
				Phases: []phase{{Count: tasks, CPU: 10, Mem: 64, Estimate: 1000, LongRunning: true, Checkpointing: true, AntiAffinity: 14}},
			})
		})
	}
	if c.trouble {
		time.AfterFunc(20*time.Second, func() { c.fleet.workers[7].crash() })
	}
	c.traffic(8, end, lookup)
	isService := func(j *Job) bool { return j.name == "services" }
	bad := c.judgeLost(end, isService)
	c.rec.Log("judge", "%d accepted lookups break LOST", bad)
	idle := 0
	for _, j := range c.jobs {
		if isService(j) && j.isAccepted() {
			idle += c.idleLasting(j, 0, tasks)
		}
	}
	c.rec.Log("judge", "%d lasting tasks have not run in the last %v: LOST if there is any", idle, lastingIdle)
	for why, count := range c.store.refused {
		c.rec.Log("store", "%d transactions refused: %s", count, why)
	}
	if bad > 0 || idle > 0 {
		return broken
	}
	return held
}

// gangs ends a seventh of the workers for good beside usual traffic and gangs that save their work.
func gangs(c *Case) int {
	const count, size = 12, 8
	c.platform(48)
	c.fleet.Work, c.fleet.GangOf = taskWork, gangOf
	c.startNodes(6, 0)
	c.awaitReady(20 * time.Second)
	c.rec.Log("case", "traffic begins")
	end := time.Now().Add(35 * time.Second)
	for i := range count {
		time.AfterFunc(5*time.Second+time.Duration(i)*400*time.Millisecond, func() {
			c.submit(batches, "gangs", submission{
				Spec:   spec(work{MS: 6200, CPU: 4500, Gang: size}),
				Phases: []phase{{Count: size, CPU: 4500, Mem: 4096, Estimate: 6200, Gang: true, Checkpointing: true}},
			})
		})
	}
	var crashedAt time.Time
	if c.trouble {
		time.AfterFunc(10*time.Second, func() {
			for i := 0; i < 42; i += 6 {
				c.fleet.workers[i].crash()
			}
			crashedAt = time.Now()
		})
	}
	c.traffic(4, end, lookup)
	bad := c.judgeLost(end, nil)
	alone := 0
	for _, e := range c.fleet.events {
		if e.kind == "alone" && e.at.Sub(crashedAt) > calm {
			alone++
		}
	}
	unfinished := 0
	for _, j := range c.jobs {
		if j.name == "gangs" && j.isAccepted() && j.state != "completed" {
			unfinished++
		}
	}
	c.rec.Log("judge", "%d accepted jobs break LOST; %d of %d gangs are not completed in the end", bad, unfinished, count)
	c.rec.Log("judge", "%d runs have ended alone more than %v after the workers crashed: GANG if there is any", alone, calm)
	if bad > 0 || alone > 0 {
		return broken
	}
	return held
}

// calm is the time after a disruption from which it is not near: contactMs, and as long again as a gang waits.
const calm = 8 * time.Second

// sameRack ends a tenth of the workers for good, and then hands in a wide job whose tasks are best in one rack.
func sameRack(c *Case) int {
	const tasks, lost = 132, 5 // three tasks fit on a worker: 144 on all, 129 on those that are left
	c.platform(48)
	c.fleet.Work = taskWork
	c.startNodes(6, 0)
	c.awaitReady(20 * time.Second)
	c.rec.Log("case", "traffic begins")
	end := time.Now().Add(40 * time.Second)
	if c.trouble {
		time.AfterFunc(3*time.Second, func() {
			for i := range lost {
				c.fleet.workers[9*i].crash()
			}
		})
	}
	time.AfterFunc(15*time.Second, func() {
		j := c.submit(batches, "wide job", submission{
			Spec:   spec(work{MS: 2200, CPU: 4500}),
			Phases: []phase{{Count: tasks, CPU: 4500, Mem: 4096, Estimate: 2200, SameRack: true}},
		})
		c.rec.Log("client", "wide job %s of %d tasks handed in: answers %v", j.id, tasks, j.answers)
	})
	c.traffic(2, end, lookup)
	bad := c.judgeLost(end, nil)
	c.rec.Log("judge", "%d accepted jobs break LOST", bad)
	if bad > 0 {
		return broken
	}
	return held
}

// movedQueue changes the service of a queue while a job of the queue waits for room at the former service.
func movedQueue(c *Case) int {
	const workers, others = 35, 13
	c.platformOf(workers, others)
	c.fleet.Work = taskWork
	c.startNodes(6, 0)
	c.awaitReady(20 * time.Second)
	c.rec.Log("case", "traffic begins")
	end := time.Now().Add(45 * time.Second)
	full := c.submit(lookups, "service", submission{
		Spec:   spec(work{MS: lasting, CPU: 15500}),
		Phases: []phase{{Count: workers, CPU: 15500, Mem: 1024, Estimate: 1000, LongRunning: true}},
	})
	c.rec.Log("client", "service %s, which fills all workers of %s, handed in: answers %v", full.id, service, full.answers)
	time.Sleep(3 * time.Second)
	waiting := c.submit(batches, "waiting job", submission{
		Spec:   spec(work{MS: 2200, CPU: 980}),
		Phases: []phase{{Count: 10, CPU: 980, Mem: 512, Estimate: 2200}},
	})
	c.rec.Log("client", "job %s, for which there is no room, handed in: answers %v", waiting.id, waiting.answers)
	time.Sleep(17 * time.Second)
	var changed time.Time
	if c.trouble {
		c.store.Put("op", "config", configuration(9, other))
		changed = time.Now()
		c.rec.Log("operator", "configuration 9 sends the queue to %s: acknowledged", other)
	}
	c.traffic(4, end, func() (string, string, submission) {
		return lookups, "lookups", submission{Spec: spec(work{MS: 640, CPU: 400}), Phases: []phase{{Count: 2, CPU: 400, Mem: 512, Estimate: 640}}}
	})
	time.Sleep(time.Until(end.Add(finish)))
	c.query(waiting)
	started := c.rec.Get("runs: start")
	c.rec.Log("judge", "job %s is %q in the end; %d of the service's tasks run; starts in all %d", waiting.id, waiting.state, workers, started)
	if !waiting.isAccepted() || !full.isAccepted() {
		return notRun
	}
	c.fleet.mu.Lock()
	runs := 0
	for _, e := range c.fleet.events {
		if e.job == waiting.id {
			runs++
		}
	}
	c.fleet.mu.Unlock()
	if !c.trouble {
		return held // there is no room for the job at its service, which is full
	}
	c.rec.Log("judge", "%.1f s after the change the job has had %d starts and ends; all %d workers of %s are idle", time.Since(changed).Seconds(), runs, others, other)
	if waiting.state != "completed" && runs == 0 {
		c.rec.Log("judge", "LOST: nothing of the job has run for 3 s although there is room for it twice over")
		return broken
	}
	return held
}

// waitingGang ends a few workers for good, so that a wide gang has no room any more, beside small batch jobs.
func waitingGang(c *Case) int {
	const size, lost = 46, 3 // of 48 workers, each of which takes one member
	c.platform(48)
	c.fleet.Work, c.fleet.GangOf = taskWork, gangOf
	c.startNodes(6, 0)
	c.awaitReady(20 * time.Second)
	c.rec.Log("case", "traffic begins")
	end := time.Now().Add(45 * time.Second)
	gang := c.submit(batches, "gang", submission{
		Spec:   spec(work{MS: lasting, CPU: 15500, Gang: size}),
		Phases: []phase{{Count: size, CPU: 15500, Mem: 4096, Estimate: 1000, Gang: true, LongRunning: true}},
	})
	c.rec.Log("client", "gang %s of %d tasks handed in: answers %v", gang.id, size, gang.answers)
	if c.trouble {
		time.AfterFunc(10*time.Second, func() {
			for i := range lost {
				c.fleet.workers[11*i].crash()
			}
		})
	}
	c.traffic(1, end, func() (string, string, submission) {
		return batches, "batch jobs", submission{Spec: spec(work{MS: 2200, CPU: 980}), Phases: []phase{{Count: 4, CPU: 980, Mem: 512, Estimate: 2200, Checkpointing: true}}}
	})
	bad := c.judgeLost(end, func(j *Job) bool { return j == gang })
	c.rec.Log("judge", "%d accepted batch jobs break LOST", bad)
	if bad > 0 {
		return broken
	}
	return held
}

// grey makes the workers of one kind fail all that they start for a while, beside jobs that need this kind.
func grey(c *Case) int {
	const kind, workers = "b", 1
	c.platform(48)
	c.fleet.Work = taskWork
	for _, w := range c.fleet.workers[:workers] {
		w.mu.Lock()
		w.label = kind
		w.mu.Unlock()
	}
	time.Sleep(2 * heartbeatEvery) // until the entries tell it
	c.startNodes(6, 0)
	c.awaitReady(20 * time.Second)
	c.rec.Log("case", "traffic begins")
	end := time.Now().Add(45 * time.Second)
	lasts := c.submit(batches, "service", submission{
		Spec:   spec(work{MS: lasting, CPU: 1000}),
		Phases: []phase{{Count: workers, CPU: 1000, Mem: 512, Estimate: 1000, LongRunning: true, AntiAffinity: 1, Constraints: kind}},
	})
	c.rec.Log("client", "service %s handed in, one task on each worker of kind %s: answers %v", lasts.id, kind, lasts.answers)
	time.Sleep(2 * time.Second)
	set := func(grey bool) {
		for _, w := range c.fleet.workers[:workers] {
			w.setGrey(grey)
		}
		c.rec.Log("worker", "%d workers fail all that they start: %v", workers, grey)
	}
	if c.trouble {
		time.AfterFunc(5*time.Second, func() { set(true) })
		time.AfterFunc(11*time.Second, func() { set(false) })
	}
	c.traffic(2, end, func() (string, string, submission) {
		return batches, "batch jobs", submission{Spec: spec(work{MS: 1000, CPU: 980}), Phases: []phase{{Count: 2, CPU: 980, Mem: 512, Estimate: 1000, Constraints: kind}}}
	})
	bad := c.judgeLost(end, c.usedUp)
	c.rec.Log("judge", "%d accepted jobs break LOST", bad)
	if bad > 0 {
		return broken
	}
	return held
}

// usedUp reports whether a task of the job has failed as often as its queue allows, so that the job is failed rightly.
func (c *Case) usedUp(j *Job) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	failures := map[string]int{}
	for _, e := range c.fleet.events {
		if e.job == j.id && e.kind == "failed" {
			if failures[e.task]++; failures[e.task] >= batchAttempts {
				return true
			}
		}
	}
	return false
}

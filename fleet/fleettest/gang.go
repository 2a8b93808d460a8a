package fleettest

import (
	"fmt"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

type gang struct {
	members map[int]*worker
	lost    bool // a member's worker has ended: the others can't end well
}

// brokenAfter is how long after the end of a worker the other members of its gangs end.
const brokenAfter = 200 * time.Millisecond

// breakUp ends a gang of which a member was lost with its worker.
func (f *Fleet) breakUp(lost *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endGang(lost, fleet.Broken)
}

// endGang ends the members of an attempt's gang that still run.
func (f *Fleet) endGang(r *run, outcome fleet.Outcome) {
	name := gangName(r.task, r.number)
	g := f.gangs[name]
	if g == nil {
		return
	}
	delete(f.gangs, name)
	for index, host := range g.members {
		member := r.task
		member.Index = index
		if other := host.runs[member.String()]; other != nil && !host.dead && other.number == r.number {
			f.end(host, other, outcome)
		}
	}
}

func gangName(task workload.TaskID, number int) string {
	return fmt.Sprintf("%s#%d", task.StepName(), number)
}

// join adds a member to its gang, and starts the work once all are there.
func (f *Fleet) join(w *worker, r *run, kind Kind) {
	name := gangName(r.task, r.number)
	g := f.gangs[name]
	if g == nil {
		g = &gang{members: map[int]*worker{}}
		f.gangs[name] = g
	}
	g.members[r.task.Index] = w
	if len(g.members) == kind.Request.Steps[r.task.Step].Count {
		for index, host := range g.members {
			member := r.task
			member.Index = index
			if other := host.runs[member.String()]; other != nil && !host.dead {
				other.timer.Stop()
				f.work(host, other, kind)
			}
		}
		return
	}
	r.timer = time.AfterFunc(gangTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead && w.runs[r.task.String()] == r && r.began.IsZero() {
			f.alone++
			f.end(w, r, fleet.Alone)
		}
	})
}

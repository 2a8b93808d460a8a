package fleettest

import (
	"fmt"
	"time"

	"chutereach/fleet"
	"chutereach/workload"
)

// gang is the set of attempts of a gang step that work together.
type gang struct {
	members map[int]*worker
	lost    bool // a member's worker has ended, so the others can't complete
}

// gangFailureDelay is the time from the end of a worker to the end of its gangs' other members.
const gangFailureDelay = 200 * time.Millisecond

// failGang ends the gang of an attempt that was lost with its worker.
func (f *Fleet) failGang(lost *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endGang(lost, fleet.GangBroken)
}

// endGang ends the running members of an attempt's gang.
func (f *Fleet) endGang(r *run, outcome fleet.Outcome) {
	name := gangKey(r.task, r.number)
	g := f.gangs[name]
	if g == nil {
		return
	}
	delete(f.gangs, name)
	for index, host := range g.members {
		member := r.task
		member.Index = index
		if other := host.runs[member.String()]; other != nil && !host.dead && other.number == r.number {
			f.endAttempt(host, other, outcome)
		}
	}
}

func gangKey(task workload.TaskID, number int) string {
	return fmt.Sprintf("%s#%d", task.StepName(), number)
}

// joinGang adds an attempt to its gang. Work starts once all members have joined; a member that
// waits longer than gangTimeout ends with fleet.GangIncomplete.
func (f *Fleet) joinGang(w *worker, r *run, spec JobSpec) {
	name := gangKey(r.task, r.number)
	g := f.gangs[name]
	if g == nil {
		g = &gang{members: map[int]*worker{}}
		f.gangs[name] = g
	}
	g.members[r.task.Index] = w
	if len(g.members) == spec.Request.Steps[r.task.Step].Count {
		for index, host := range g.members {
			member := r.task
			member.Index = index
			if other := host.runs[member.String()]; other != nil && !host.dead {
				other.timer.Stop()
				f.runPlan(host, other, spec)
			}
		}
		return
	}
	r.timer = time.AfterFunc(gangTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead && w.runs[r.task.String()] == r && r.startedAt.IsZero() {
			f.gangTimeouts++
			f.endAttempt(w, r, fleet.GangIncomplete)
		}
	})
}

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
	broken  bool // a member has ended, so the others cannot complete; they end after the break delay
}

// defaultGangBreakDelay is the default of SetGangBreakDelay.
const defaultGangBreakDelay = 200 * time.Millisecond

// SetGangBreakDelay sets the time from the end of a gang's member to the end of the others. Members whose plans
// end in that time report ends of their own.
func (f *Fleet) SetGangBreakDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gangBreakDelay = delay
}

// breakGang makes the other members of an attempt's gang end after the break delay. Until then they keep working.
func (f *Fleet) breakGang(r *run) {
	g := f.gangs[gangKey(r.task, r.number)]
	if g == nil || g.broken {
		return
	}
	g.broken = true
	time.AfterFunc(f.gangBreakDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endGang(r, fleet.GangBroken)
	})
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
	if !g.broken && len(g.members) == spec.Request.Steps[r.task.Step].Count {
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

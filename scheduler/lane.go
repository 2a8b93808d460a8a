package scheduler

import (
	"time"

	"chutereach/fleet"
)

const (
	// cheapAdvice is the cost below which a call counts as cheap: a call for work
	// that is urgent must not wait behind one that is not cheap.
	cheapAdvice = 40 * time.Millisecond
	// laneDepth bounds the work that waits at a lane, besides one call.
	laneDepth = 30 * time.Millisecond
	// adviceSlack is added to what a call should take, cheapSlack to what a cheap one
	// should: urgent work waits for it.
	adviceSlack = 500 * time.Millisecond
	cheapSlack  = 200 * time.Millisecond
	// lanePause spares a lane that failed.
	lanePause = 500 * time.Millisecond
	// cheapShare is the share of the other nodes' lanes that is kept for cheap
	// calls, beside the owner's own.
	cheapShare = 0.25
)

// Lane is a node from which advice can be asked; the advisor takes one call at a
// time from each.
type Lane struct {
	Node    string
	Self    bool
	Advisor fleet.Advisor
}

type lane struct {
	Lane
	queued time.Duration // cost of the calls under way
	costly bool          // one of them is not cheap
	until  time.Time     // spared until then
}

// SetLanes tells from which nodes advice can be asked.
func (s *Scheduler) SetLanes(list []Lane) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := map[string]*lane{}
	for _, l := range s.lanes {
		former[l.Node] = l
	}
	s.lanes = nil
	for _, l := range list {
		if old := former[l.Node]; old != nil {
			old.Lane = l
			s.lanes = append(s.lanes, old)
		} else {
			s.lanes = append(s.lanes, &lane{Lane: l})
		}
	}
	wake(s.dispatchWake)
}

// chooseLane returns the lane for a call of a cost, or nil if none is free.
func (s *Scheduler) chooseLane(cost time.Duration, now time.Time) *lane {
	if cost > cheapAdvice && !s.spareLane(now) {
		return nil
	}
	others := s.otherLanes(now)
	var best *lane
	for _, l := range s.lanes {
		if now.Before(l.until) {
			continue
		}
		if l.Self && cost > cheapAdvice && others > 0 {
			continue // the own lane is kept for cheap calls
		}
		if l.queued > laneDepth && l.queued+cost > cheapAdvice*2 {
			continue
		}
		if best == nil || l.rank(cost) < best.rank(cost) {
			best = l
		}
	}
	return best
}

// otherLanes counts the other nodes' lanes that work.
func (s *Scheduler) otherLanes(now time.Time) int {
	others := 0
	for _, l := range s.lanes {
		if !l.Self && now.After(l.until) {
			others++
		}
	}
	return others
}

// spareLane reports whether another call that is not cheap leaves enough lanes for
// those that are.
func (s *Scheduler) spareLane(now time.Time) bool {
	costly := 0
	for _, l := range s.lanes {
		if !l.Self && l.costly && now.After(l.until) {
			costly++
		}
	}
	others := s.otherLanes(now)
	return costly == 0 || costly < others-int(cheapShare*float64(others))
}

// rank orders lanes: short queues first, and the own lane for cheap calls.
func (l *lane) rank(cost time.Duration) time.Duration {
	rank := l.queued
	if !l.Self && cost <= cheapAdvice {
		rank += cheapAdvice / 2
	}
	return rank
}

// limit returns how long a call of a cost may take at the lane.
func (l *lane) limit(cost time.Duration) time.Duration {
	if cost <= cheapAdvice {
		return l.queued + cost/2 + cheapSlack
	}
	return l.queued + cost/2 + adviceSlack
}

// begin and end note a call that is under way.
func (l *lane) begin(cost time.Duration) {
	l.queued += cost
	l.costly = l.costly || cost > cheapAdvice
}

func (l *lane) end(cost time.Duration) {
	l.queued -= cost
	if cost > cheapAdvice {
		l.costly = false
	}
}

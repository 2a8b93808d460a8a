package scheduler

import (
	"time"

	"chutereach/fleet"
)

const (
	// maxCheapCost is the cost up to which a call counts as cheap. Cheap calls serve urgent
	// work and must not queue behind expensive ones.
	maxCheapCost = 40 * time.Millisecond
	// maxPendingCost is the pending cost above which a node only takes calls that keep its
	// total within twice maxCheapCost.
	maxPendingCost = 30 * time.Millisecond
	// costlyCallSlack and cheapCallSlack are added to the expected duration of a call to
	// obtain its timeout. The latter is shorter because urgent work waits for cheap calls.
	costlyCallSlack = 500 * time.Millisecond
	cheapCallSlack  = 200 * time.Millisecond
	// adviceFailurePause is how long a node gets no calls after one has failed.
	adviceFailurePause = 500 * time.Millisecond
	// reservedCheapShare is the share of the remote nodes reserved for cheap calls, in
	// addition to the owner's own node.
	reservedCheapShare = 0.25
)

// AdviceNode is a node through which advice can be requested. The advisor serves one call at a
// time from each node.
type AdviceNode struct {
	Node    string
	Self    bool
	Advisor fleet.Advisor
}

type adviceNode struct {
	AdviceNode
	pendingCost   time.Duration // total cost of the calls in flight
	hasCostlyCall bool          // an expensive call is in flight
	pausedUntil   time.Time     // no calls until then, after a failure
	lastEnded     time.Time     // end of the last call
}

// SetAdviceNodes sets the nodes through which advice can be requested. Nodes that remain keep their
// pending calls.
func (s *Scheduler) SetAdviceNodes(list []AdviceNode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := map[string]*adviceNode{}
	for _, node := range s.adviceNodes {
		former[node.Node] = node
	}
	s.adviceNodes = nil
	for _, node := range list {
		if old := former[node.Node]; old != nil {
			old.AdviceNode = node
			s.adviceNodes = append(s.adviceNodes, old)
		} else {
			s.adviceNodes = append(s.adviceNodes, &adviceNode{AdviceNode: node})
		}
	}
	wake(s.dispatchWake)
}

// chooseAdviceNode returns the node for a call of the given cost, or nil if none can take it.
func (s *Scheduler) chooseAdviceNode(cost time.Duration, now time.Time) *adviceNode {
	if cost > maxCheapCost && !s.allowsCostlyCall(now) {
		return nil
	}
	remote := s.availableRemoteNodes(now)
	var best *adviceNode
	for _, node := range s.adviceNodes {
		if now.Before(node.pausedUntil) {
			continue
		}
		if node.Self && cost > maxCheapCost && remote > 0 {
			continue // reserved for cheap calls
		}
		if node.pendingCost > maxPendingCost && node.pendingCost+cost > maxCheapCost*2 {
			continue
		}
		if best == nil || node.rank(cost) < best.rank(cost) {
			best = node
		}
	}
	return best
}

// availableRemoteNodes counts the remote nodes that are not paused.
func (s *Scheduler) availableRemoteNodes(now time.Time) int {
	remote := 0
	for _, node := range s.adviceNodes {
		if !node.Self && now.After(node.pausedUntil) {
			remote++
		}
	}
	return remote
}

// allowsCostlyCall reports whether another expensive call leaves enough nodes for cheap ones.
func (s *Scheduler) allowsCostlyCall(now time.Time) bool {
	if s.load.MeasuredAdvice {
		return s.allowsMeasuredCostlyCall(now)
	}
	costly := 0
	for _, node := range s.adviceNodes {
		if !node.Self && node.hasCostlyCall && now.After(node.pausedUntil) {
			costly++
		}
	}
	remote := s.availableRemoteNodes(now)
	return costly == 0 || costly < remote-int(reservedCheapShare*float64(remote))
}

// rank orders nodes for a call, lowest first: by pending cost, with the owner's own node
// preferred for cheap calls.
func (n *adviceNode) rank(cost time.Duration) time.Duration {
	rank := n.pendingCost
	if !n.Self && cost <= maxCheapCost {
		rank += maxCheapCost / 2
	}
	return rank
}

// timeout returns how long a call of the given cost may take.
func (n *adviceNode) timeout(cost time.Duration) time.Duration {
	if cost <= maxCheapCost {
		return n.pendingCost + cost/2 + cheapCallSlack
	}
	return n.pendingCost + cost/2 + costlyCallSlack
}

// callStarted records a call in flight, and callEnded its end.
func (n *adviceNode) callStarted(cost time.Duration) {
	n.pendingCost += cost
	n.hasCostlyCall = n.hasCostlyCall || cost > maxCheapCost
}

func (n *adviceNode) callEnded(cost time.Duration) {
	n.pendingCost -= cost
	if cost > maxCheapCost {
		n.hasCostlyCall = false
	}
}

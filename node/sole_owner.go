package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"chutereach/leadership"
	"chutereach/peer"
	"chutereach/scheduler"
	"chutereach/wait"
)

// An owner that cannot reach the store may have been replaced without noticing. Before it rejects a submission, it
// asks the other nodes whether a later owner may have accepted the job:
//
//   - A new owner accepts no job until enough nodes have acknowledged a heartbeat of its term or have departed (markDeparted),
//     or until no earlier owner may use this proof any more (acceptanceDelay).
//   - The proof holds if all nodes but a few (doubtfulNodes) confirm that they do not own the shard and know of no later
//     owner.
//
// A new owner and the nodes that have acknowledged it outnumber the few that need not confirm, so at least one of them
// would have been asked and reported the later term. The proof thus tolerates a few nodes that are down or unreachable.

const (
	// soleOwnerTimeout bounds a round of questions. Callers wait for its end, so nodes that do not answer must not
	// hold them up for long.
	soleOwnerTimeout = pingTimeout
	// maxSoleOwnerPings bounds the questions per second to all nodes together. One takes an owner some 0.1 ms of
	// processor time.
	maxSoleOwnerPings = 1000
	// clockRateMargin is how much longer than an owner's own count a node must have been up by its clock.
	clockRateMargin = 1.03
	// maxDoubtfulNodes is the maximum number of nodes that need not confirm. With fewer than minDoubtfulMembers members
	// all must confirm, as too few nodes would be left to acknowledge a new owner.
	maxDoubtfulNodes   = 5
	minDoubtfulMembers = 6
	// proofLifetime is how long after its last applied transaction an owner can prove that it has not been replaced.
	// It exceeds the longest outage observed, of 7 s. acceptanceDelay is how long a new owner waits for
	// acknowledgements; it is longer, because the clocks of the two may differ.
	proofLifetime   = 9 * time.Second
	acceptanceDelay = 10 * time.Second
)

// doubtfulNodes returns how many of the other nodes need not confirm, given the number of members.
func doubtfulNodes(members int) int {
	if members < minDoubtfulMembers {
		return 0
	}
	return min(maxDoubtfulNodes, members/2-1)
}

// acknowledgementsNeeded returns how many nodes must acknowledge a new owner before it accepts jobs. It exceeds
// doubtfulNodes by one, and applies from one member fewer on, because a former owner may know one member more than the
// new one.
func acknowledgementsNeeded(members int) int {
	if members < minDoubtfulMembers-1 {
		return 0
	}
	return min(maxDoubtfulNodes+1, members/2)
}

// soleOwner tracks, for one term of this node, whether it may accept jobs already, and proves on request that no later
// owner has.
type soleOwner struct {
	node   *Node
	term   *leadership.Term
	rounds wait.Rounds
	// membersKnown is set once all members have been read in this term.
	membersKnown atomic.Bool

	mu           sync.Mutex
	acknowledged map[string]bool // nodes that have acknowledged a heartbeat of this term, or have departed
	acceptable   chan struct{}   // closed once this node may accept jobs
	accepting    bool            // acceptable is closed
}

func newSoleOwner(n *Node, term *leadership.Term) *soleOwner {
	s := &soleOwner{node: n, term: term, acknowledged: map[string]bool{}, acceptable: make(chan struct{})}
	s.rounds = wait.Rounds{Run: s.askAll, Interval: s.interval}
	return s
}

// acknowledge records that a node has acknowledged a heartbeat of this term.
func (s *soleOwner) acknowledge(node string, members int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acknowledged[node] = true
	if len(s.acknowledged) >= acknowledgementsNeeded(members) {
		s.accept()
	}
}

// acknowledgeDeparted counts the members that have departed as if they had acknowledged a heartbeat of this term. The members
// must have been read from the store during this term.
func (s *soleOwner) acknowledgeDeparted(members []Member) {
	s.node.mu.Lock()
	known := len(s.node.members)
	s.node.mu.Unlock()
	for _, node := range departedNodes(members) {
		if node != s.node.config.Self.Node {
			s.acknowledge(node, known)
		}
	}
}

// expireFormer lets this node accept jobs once the proofs of all earlier owners have expired.
func (s *soleOwner) expireFormer(ctx context.Context, members int) {
	if acknowledgementsNeeded(members) > 0 && wait.For(ctx, time.Until(s.term.FormerSentBefore().Add(acceptanceDelay))) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accept()
}

// accept lets this node accept jobs. s.mu must be held.
func (s *soleOwner) accept() {
	if !s.accepting {
		s.accepting = true
		close(s.acceptable)
	}
}

// confirm returns nil if no other node has accepted a job from the last applied transaction of the term until a moment
// after the call. One round of questions serves all calls that wait for it.
func (s *soleOwner) confirm(ctx context.Context) error { return s.rounds.Join(ctx) }

// interval returns the minimum time between two rounds.
func (s *soleOwner) interval() time.Duration {
	return time.Duration(len(s.others())) * time.Second / maxSoleOwnerPings
}

func (s *soleOwner) others() []Member {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.node.others()
}

// askAll asks all other nodes. It returns as soon as enough of them have confirmed, or too many have not.
func (s *soleOwner) askAll() error {
	switch {
	case !s.membersKnown.Load():
		return &MembersUnknownError{}
	case s.node.isStopping(): // a new owner may count this node as departed
		return &StoppingError{}
	}
	if since := s.term.SinceLastCommit(); since > proofLifetime {
		return &ProofExpiredError{since}
	}
	ctx, cancel := context.WithTimeout(s.node.ctx, soleOwnerTimeout)
	defer cancel()
	others := s.others()
	answers := make(chan error, len(others))
	for _, member := range others {
		go func() { answers <- s.ask(ctx, member) }()
	}
	doubtful := doubtfulNodes(len(others) + 1)
	needed := len(others) - doubtful
	doubts := 0
	for range others {
		if needed <= 0 {
			return nil
		}
		err := <-answers
		var replaced *scheduler.DeposedError
		switch {
		case err == nil:
			needed--
		case errors.As(err, &replaced):
			return err
		default:
			doubts++
		}
		if doubts > doubtful {
			return &OwnershipDoubtError{doubts, err}
		}
	}
	return nil
}

// ask returns nil if a node confirms that it does not own the shard and has not heard of an owner later than this one,
// and a DeposedError if it says the contrary. An earlier process of the node may have heard of one, so the process must
// have been up and its row in the store since the last applied transaction.
func (s *soleOwner) ask(ctx context.Context, member Member) error {
	answer, err := peer.Call[pingResponse](ctx, s.node.client, member.Address, pingPath, empty{})
	switch {
	case err != nil:
		return err
	case answer.Owner.Token > s.term.Token():
		s.node.learnOwner(answer.Owner)
		return &scheduler.DeposedError{Reason: "node " + member.Node + " knows a later owner"}
	case answer.IsOwner:
		return &scheduler.DeposedError{Reason: "node " + member.Node + " owns the shard or is taking it over"}
	}
	if needed := time.Duration(clockRateMargin * float64(s.term.SinceLastCommit())); answer.UpFor < needed {
		return &RecentStartError{member.Node, answer.UpFor, needed}
	}
	return nil
}

// OwnershipDoubtError reports that too many nodes do not confirm that they know of no later owner.
type OwnershipDoubtError struct {
	Doubts int
	Last   error
}

func (e *OwnershipDoubtError) Error() string {
	return fmt.Sprintf("%d nodes do not confirm that there is no later owner, the last one: %v", e.Doubts, e.Last)
}

// RecentStartError reports that a node has restarted since the owner's last transaction. It may have acknowledged a later
// owner before, and has forgotten that.
type RecentStartError struct {
	Node          string
	UpFor, Needed time.Duration
}

func (e *RecentStartError) Error() string {
	return fmt.Sprintf("node %s has been up for %v, less than the %v since the last transaction", e.Node, e.UpFor, e.Needed)
}

// ProofExpiredError reports that the last transaction of an owner is too long ago for a proof.
type ProofExpiredError struct{ Since time.Duration }

func (e *ProofExpiredError) Error() string {
	return fmt.Sprintf("the last transaction was %v ago", e.Since)
}

// MembersUnknownError reports that an owner has not read all members yet.
type MembersUnknownError struct{}

func (e *MembersUnknownError) Error() string { return "the members have not been read yet" }

package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"chutereach/leadership"
	"chutereach/peer"
	"chutereach/wait"
)

const (
	// soleOwnerTimeout bounds a round of questions. Callers wait for its end, so a node that does not answer must
	// not hold them up for long.
	soleOwnerTimeout = pingTimeout
	// maxSoleOwnerPings bounds the questions per second to all nodes together, and soleOwnerConcurrency those under
	// way. Asking takes an owner some 0.1 ms of processor time.
	maxSoleOwnerPings    = 1000
	soleOwnerConcurrency = 64
	// clockRateMargin is how much longer than an owner's own count a node must have been up by its clock.
	clockRateMargin = 1.03
)

// soleOwner proves for an owner, without the store, that no other node has owned the shard since the owner's last
// applied transaction. Every other node has to answer that it does not own the shard, is not taking it over and has
// not heard of a later owner. Its process must have been up since that transaction: an earlier one may have owned the
// shard. One round of questions serves all calls that wait for it.
//
// A node that has registered since the owner last heard of the members is not asked. It would have to take the shard
// without reaching any other node.
type soleOwner struct {
	node   *Node
	term   *leadership.Term
	rounds wait.Rounds
	// membersKnown is set once all members have been read in this term.
	membersKnown atomic.Bool
}

func newSoleOwner(n *Node, term *leadership.Term) *soleOwner {
	s := &soleOwner{node: n, term: term}
	s.rounds = wait.Rounds{Run: s.askAll, Interval: s.interval}
	return s
}

// confirm returns nil if no other node has owned the shard from the last applied transaction of the term until a
// moment after the call.
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

// askAll asks all other nodes. It fails as soon as one of them does not confirm.
func (s *soleOwner) askAll() error {
	if !s.membersKnown.Load() {
		return &MembersUnknownError{}
	}
	ctx, cancel := context.WithTimeout(s.node.ctx, soleOwnerTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(soleOwnerConcurrency)
	for _, member := range s.others() {
		group.Go(func() error { return s.ask(ctx, member) })
	}
	return group.Wait()
}

func (s *soleOwner) ask(ctx context.Context, member Member) error {
	answer, err := peer.Call[pingResponse](ctx, s.node.client, member.Address, pingPath, empty{})
	if err != nil {
		return &OwnershipDoubtError{member.Node, err.Error()}
	}
	if answer.Owner.Token > s.term.Token() {
		s.node.learnOwner(answer.Owner)
		return &OwnershipDoubtError{member.Node, "it knows a later owner"}
	}
	if answer.IsOwner {
		return &OwnershipDoubtError{member.Node, "it owns the shard or is taking it over"}
	}
	if needed := time.Duration(clockRateMargin * float64(s.term.SinceLastCommit())); answer.UpFor < needed {
		return &OwnershipDoubtError{member.Node, fmt.Sprintf("its process has been up for %v, less than the %v since the last transaction", answer.UpFor, needed)}
	}
	return nil
}

// OwnershipDoubtError reports that a node does not confirm that it has not owned the shard.
type OwnershipDoubtError struct{ Node, Reason string }

func (e *OwnershipDoubtError) Error() string {
	return fmt.Sprintf("node %s may have owned the shard: %s", e.Node, e.Reason)
}

// MembersUnknownError reports that an owner has not read all members yet.
type MembersUnknownError struct{}

func (e *MembersUnknownError) Error() string { return "the members have not been read yet" }

package node

import (
	"context"
	"math/rand/v2"
	"time"

	"chutereach/clock"
	"chutereach/codec"
	"chutereach/rowstore"
	"chutereach/wait"
)

// A node that is told to stop marks its row as departed. A new owner counts it as one that has acknowledged its term, since
// it confirms no ownership any more (soleOwner):
//
//   - A stopping node confirms nothing, from before it announces its departure.
//   - It sends the mark only once the announcement is known to be in its row, and under a condition on that row's version. Its
//     next process finds the announcement or the mark, replaces the row, and confirms nothing before that is done. A mark
//     that the store applies late therefore fails, and an announcement that it applies late counts for nothing.
//   - A confirmation counts only if the row was replaced, or found without either, before the asking owner's last
//     transaction. A mark that a later owner reads is thus never of a process before the one that confirms.
//
// The row stays: owners must agree on the number of members, and a node that returns would otherwise be unknown to an owner
// that is cut off.

// departure is the stage of a node's departure, as its row says.
type departure int

const (
	present departure = iota
	announced
	departed
)

const (
	// rowRenewalSpread is the time over which the restarted nodes of a large deployment replace their rows, since the
	// transactions are serialized. Until then they confirm no ownership.
	rowRenewalSpread = 5 * time.Second
	// confirmsNothing is the answer of a node that cannot confirm any ownership. It is negative, as the time since the
	// asking owner's last transaction may be zero.
	confirmsNothing time.Duration = -1
)

// withDeparture returns the member at a stage of its departure.
func (m Member) withDeparture(stage departure) Member {
	m.Departure = stage
	return m
}

// confirmedFor returns for how long this process has been able to confirm an ownership. n.mu must be held.
func (n *Node) confirmedFor() time.Duration {
	if n.stopping || n.presentSince.IsZero() {
		return confirmsNothing
	}
	return n.presentSince.Since()
}

// recordPresent records that this node's row has been found or written without a departure.
func (n *Node) recordPresent() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.presentSince.IsZero() {
		n.presentSince = clock.Now()
	}
}

func (n *Node) isStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping
}

// clearDeparture replaces this node's row if registering has found the departure of an earlier process in it. It retries
// until that succeeds or the node stops.
func (n *Node) clearDeparture(ctx context.Context) {
	n.mu.Lock()
	isPresent, isLarge := !n.presentSince.IsZero(), len(n.members) >= successionSize
	n.mu.Unlock()
	if isPresent {
		return
	}
	if isLarge {
		wait.For(ctx, rand.N(rowRenewalSpread))
	}
	for ctx.Err() == nil && !n.isStopping() {
		if _, err := n.commitRow(ctx, n.config.Self, nil); err == nil {
			n.recordPresent()
			return
		}
		wait.For(ctx, storeRetryDelay)
	}
}

// markDeparted announces this node's departure in its row and then marks the row as departed. It retries until that
// succeeds.
func (n *Node) markDeparted(ctx context.Context) {
	for ctx.Err() == nil {
		err := n.markDepartedOnce(ctx)
		if err == nil {
			return
		}
		n.log.Info().Err(err).Msg("cannot mark this node as departed yet")
		wait.For(ctx, storeRetryDelay)
	}
}

func (n *Node) markDepartedOnce(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := rowstore.ReadOne(readCtx, n.platform.Store, n.config.Self.rowKey())
	if err != nil || row.Version == 0 {
		return err
	}
	var stored Member
	if err := codec.Unmarshal(row.Value, &stored); err != nil {
		return err
	}
	version := row.Version
	if stored.Departure == present {
		if version, err = n.commitRow(ctx, stored.withDeparture(announced), &version); err != nil {
			return err
		}
	}
	if stored.Departure != departed {
		_, err = n.commitRow(ctx, stored.withDeparture(departed), &version)
	}
	return err
}

// commitRow writes this node's row, if required only over a version of it. It returns the new version.
func (n *Node) commitRow(ctx context.Context, row Member, over *uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	transaction := rowstore.Transaction{Puts: []rowstore.Put{{Key: row.rowKey(), Value: codec.MustMarshal(row)}}}
	if over != nil {
		transaction.Conditions = []rowstore.Condition{{Key: row.rowKey(), Version: *over}}
	}
	return n.platform.Store.Commit(ctx, transaction)
}

// departedNodes returns the nodes all of whose rows are marked as departed. A node whose machine has changed has several
// rows, as the power of the machine is part of the name.
func departedNodes(members []Member) []string {
	gone := map[string]bool{}
	for _, member := range members {
		earlier, found := gone[member.Node]
		gone[member.Node] = member.Departure == departed && (earlier || !found)
	}
	var nodes []string
	for node, isGone := range gone {
		if isGone {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

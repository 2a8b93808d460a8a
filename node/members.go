package node

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"chutereach/codec"
	"chutereach/fleet"
	"chutereach/peer"
	"chutereach/rowstore"
	"chutereach/scheduler"
	"chutereach/transfer"
	"chutereach/wait"
)

const (
	// successionSize is the number of members that every node knows: the first in the order of
	// succession. All other nodes wait equally long before they try to take the shard, and only
	// the owner needs to know them. If every node read all members and were sent every change,
	// the traffic would grow with the square of the number of nodes.
	successionSize = maxNearNodes + 1
	// maxOrderedPower is the power, in thousandths of a core, from which rows are ordered by
	// the name of the node alone.
	maxOrderedPower = 999_999
)

// rowName returns the name of the member's row. Rows sort by descending power, so that the
// first page holds the succession.
func (m Member) rowName() string {
	order := max(0, maxOrderedPower-int(math.Round(1000*m.Cores)))
	return fmt.Sprintf("%06d %s", order, m.Node)
}

func (m Member) rowKey() rowstore.Key { return rowstore.Key{Table: nodesTable, Name: m.rowName()} }

// register writes the node's row, by which owners find it, and reads the succession. It retries
// until that succeeds or the node stops.
func (n *Node) register(ctx context.Context) {
	for ctx.Err() == nil && !n.isStopping() {
		err := n.registerOnce(ctx)
		if err == nil {
			n.recordStoreSuccess()
			n.mu.Lock()
			n.registered = true
			n.mu.Unlock()
			return
		}
		n.recordStoreFailure(err)
		wait.For(ctx, storeRetryDelay)
	}
}

// registerOnce reads the succession, and writes the node's row unless an equal one exists. A
// restarted node finds its row: the rows share one partition, whose transactions are
// serialized, so that writes by all nodes of a large deployment at once would take seconds.
func (n *Node) registerOnce(ctx context.Context) error {
	ctx, cancel := transfer.WithStallLimit(ctx, storeTimeout, nil)
	defer cancel()
	store, self := n.platform.Store, n.config.Self
	page, err := store.Read(ctx, nodesTable, "", "", successionSize)
	if err != nil {
		return err
	}
	stage, found, err := storedDeparture(ctx, store, page.Rows, self)
	if err != nil {
		return err
	}
	if !found {
		put := rowstore.Put{Key: self.rowKey(), Value: codec.MustMarshal(self)}
		if _, err = store.Commit(ctx, rowstore.Transaction{Puts: []rowstore.Put{put}}); err != nil {
			return err
		}
		if page, err = store.Read(ctx, nodesTable, "", "", successionSize); err != nil {
			return err
		}
	}
	if !found || stage == present {
		n.recordPresent()
	}
	n.setMembers(indexByName(page.Rows))
	return nil
}

// storedDeparture returns the stage of departure in a member's row, and whether there is a row that equals the member's
// but for the departure and the silence, which the owner clears. It reads the row from the store unless it is among those already read.
func storedDeparture(ctx context.Context, store rowstore.Store, read []rowstore.Row, member Member) (departure, bool, error) {
	row, found := indexByName(read)[member.rowName()]
	if !found {
		var err error
		if row, err = rowstore.ReadOne(ctx, store, member.rowKey()); err != nil {
			return present, false, err
		}
	}
	var stored Member
	if row.Version == 0 || codec.Unmarshal(row.Value, &stored) != nil {
		return present, false, nil // the row is written
	}
	member.Departure, member.SilentSince = stored.Departure, stored.SilentSince
	return stored.Departure, bytes.Equal(row.Value, codec.MustMarshal(member)), nil
}

func indexByName(rows []rowstore.Row) map[string]rowstore.Row {
	rowsByName := make(map[string]rowstore.Row, len(rows))
	for _, row := range rows {
		rowsByName[row.Name] = row
	}
	return rowsByName
}

// setMembers adds or updates the members with the given rows, and returns them.
func (n *Node) setMembers(rows map[string]rowstore.Row) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	members := make([]Member, 0, len(rows))
	for _, row := range rows {
		var member Member
		if err := codec.Unmarshal(row.Value, &member); err != nil {
			n.log.Error().Str("node", row.Name).Err(err).Msg("cannot decode a node's row")
			continue
		}
		members = append(members, member)
		n.addMember(member)
	}
	return members
}

// addMember adds or updates a member. n.mu must be held.
func (n *Node) addMember(member Member) {
	if n.members[member.Node] != member {
		n.members[member.Node] = member
		n.membersVersion++
		n.updateSmallestMemory()
	}
}

// updateSmallestMemory updates the memory of the smallest machine of all members, any of which may own the shard. n.mu must
// be held.
func (n *Node) updateSmallestMemory() {
	smallest := n.config.Self.MemoryMiB
	for _, member := range n.members {
		if member.MemoryMiB > 0 && (smallest == 0 || member.MemoryMiB < smallest) {
			smallest = member.MemoryMiB
		}
	}
	n.smallestMemory.Store(int64(smallest) << 20)
}

// ranked returns all members, the best owner first. n.mu must be held.
func (n *Node) ranked() []Member {
	if n.rankedVersion != n.membersVersion {
		n.rankedMembers = slices.SortedFunc(maps.Values(n.members), Member.compare)
		n.rankedVersion = n.membersVersion
	}
	return n.rankedMembers
}

// currentSuccession returns the succession as sent to the nodes, and its version, which is
// incremented with each change. n.mu must be held.
func (n *Node) currentSuccession() ([]Member, uint64) {
	ranked := n.ranked()
	first := ranked[:min(len(ranked), successionSize)]
	if !slices.Equal(first, n.announced) {
		n.announced = slices.Clone(first)
		n.announcedVersion++
	}
	return n.announced, n.announcedVersion
}

// others returns the other members, sorted by name. n.mu must be held.
func (n *Node) others() []Member {
	list := make([]Member, 0, len(n.members))
	for name, member := range n.members {
		if name != n.config.Self.Node {
			list = append(list, member)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Node < list[k].Node })
	return list
}

// updateAdviceNodes gives the scheduler the nodes from which it can request advice.
func (n *Node) updateAdviceNodes() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.scheduler == nil {
		return
	}
	self := n.config.Self
	nodes := []scheduler.AdviceNode{{Node: self.Node, Self: true, Advisor: n.platform.Advisor}}
	for _, member := range n.others() {
		if n.peers[member.Node].lost {
			continue
		}
		nodes = append(nodes, scheduler.AdviceNode{Node: member.Node, Advisor: remoteAdvisor{n, member.Address}})
	}
	n.scheduler.SetAdviceNodes(nodes)
}

// remoteAdvisor requests advice from another node.
type remoteAdvisor struct {
	node    *Node
	address string
}

// Advise implements fleet.Advisor.
func (a remoteAdvisor) Advise(ctx context.Context, step string, workers []string) (fleet.Advice, error) {
	within := time.Second
	if deadline, ok := ctx.Deadline(); ok {
		within = time.Until(deadline)
	}
	call := adviseRequest{step, workers, within}
	answer, err := peer.Call[adviseResponse](ctx, a.node.client, a.address, advisePath, call)
	if err != nil {
		return fleet.Advice{}, &fleet.AdvisorError{Cause: err}
	}
	return fleet.Advice{Tickets: answer.Tickets, Valid: answer.Valid}, nil
}

func (n *Node) answerAdvise(ctx context.Context, call adviseRequest) (adviseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	advice, err := n.platform.Advisor.Advise(ctx, call.Step, call.Workers)
	return adviseResponse{advice.Tickets, advice.Valid}, err
}

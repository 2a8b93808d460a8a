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
	// succession is how many members every node knows: those that would own the shard first. All
	// others wait for the same time before they try, and only an owner has to know them. Were all
	// members read by all nodes, and told to all with each change, both would grow with the square
	// of the nodes.
	succession = nearMost + 1
	// mostPower is the power in thousandths of a core up to which names of rows tell members apart.
	mostPower = 999_999
)

// rowName returns the name of the member's row. The rows of the best owners come first, so that
// the first page holds those that every node must know.
func (m Member) rowName() string {
	weakness := max(0, mostPower-int(math.Round(1000*m.Power)))
	return fmt.Sprintf("%06d %s", weakness, m.Node)
}

// register has the node's row written, so that owners find it, and reads those of the succession.
func (n *Node) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := n.enrol(ctx)
		if err == nil {
			n.storeAnswers()
			n.mu.Lock()
			n.registered = true
			n.mu.Unlock()
			return
		}
		n.storeFails(err)
		wait.For(ctx, registerWait)
	}
}

// enrol reads the succession, and writes the node's row if it is not there as it should be. A node
// that begins again finds it: all rows are of one partition, whose transactions take turns, and when
// all nodes of a large deployment begin again at once the last of their writes would take seconds.
func (n *Node) enrol(ctx context.Context) error {
	ctx, cancel := transfer.WithStallLimit(ctx, storeTimeout, nil)
	defer cancel()
	store := n.platform.Store
	put := rowstore.Put{Key: rowstore.Key{Table: nodesTable, Name: n.config.Self.rowName()}, Value: codec.MustMarshal(n.config.Self)}
	first, err := store.Read(ctx, nodesTable, "", "", succession)
	if err != nil {
		return err
	}
	standing, err := isStanding(ctx, store, first.Rows, put)
	if err != nil {
		return err
	}
	if !standing {
		if _, err = store.Commit(ctx, rowstore.Transaction{Puts: []rowstore.Put{put}}); err != nil {
			return err
		}
		if first, err = store.Read(ctx, nodesTable, "", "", succession); err != nil {
			return err
		}
	}
	n.setMembers(byName(first.Rows))
	return nil
}

// isStanding reports whether a row is there, among some that were read or by itself.
func isStanding(ctx context.Context, store rowstore.Store, read []rowstore.Row, put rowstore.Put) (bool, error) {
	row, found := byName(read)[put.Key.Name]
	if !found {
		var err error
		if row, err = rowstore.ReadOne(ctx, store, put.Key); err != nil {
			return false, err
		}
	}
	return row.Version != 0 && bytes.Equal(row.Value, put.Value), nil
}

func byName(rows []rowstore.Row) map[string]rowstore.Row {
	named := make(map[string]rowstore.Row, len(rows))
	for _, row := range rows {
		named[row.Name] = row
	}
	return named
}

func (n *Node) setMembers(rows map[string]rowstore.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, row := range rows {
		var member Member
		if err := codec.Unmarshal(row.Value, &member); err != nil {
			n.log.Error().Str("node", row.Name).Err(err).Msg("row of a node cannot be read")
			continue
		}
		n.addMember(member)
	}
}

// addMember notes a member. The lock is held.
func (n *Node) addMember(member Member) {
	if n.members[member.Node] != member {
		n.members[member.Node] = member
		n.memberSerial++
	}
}

// ranked returns all members, the best owner first. The lock is held.
func (n *Node) ranked() []Member {
	if n.rankedAt != n.memberSerial {
		n.rankedMembers = slices.SortedFunc(maps.Values(n.members), Member.compare)
		n.rankedAt = n.memberSerial
	}
	return n.rankedMembers
}

// tellSuccession returns the members that every node is told, and a serial that rises with each
// change of them. The lock is held.
func (n *Node) tellSuccession() ([]Member, uint64) {
	ranked := n.ranked()
	first := ranked[:min(len(ranked), succession)]
	if !slices.Equal(first, n.told) {
		n.told = slices.Clone(first)
		n.toldSerial++
	}
	return n.told, n.toldSerial
}

// others returns the other members by name. The lock is held.
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

// setLanes tells the scheduler from which nodes advice can be asked.
func (n *Node) setLanes() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.own == nil {
		return
	}
	self := n.config.Self
	lanes := []scheduler.Lane{{Node: self.Node, Self: true, Advisor: n.platform.Advisor}}
	for _, member := range n.others() {
		if n.peers[member.Node].lost {
			continue
		}
		lanes = append(lanes, scheduler.Lane{Node: member.Node, Advisor: remoteAdvisor{n, member.Address}})
	}
	n.own.SetLanes(lanes)
}

// remoteAdvisor asks for advice from another node.
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
	call := adviseCall{step, workers, within}
	answer, err := peer.Call[adviseAnswer](ctx, a.node.client, a.address, advisePath, call)
	if err != nil {
		return fleet.Advice{}, &fleet.AdvisorError{Cause: err}
	}
	return fleet.Advice{Tickets: answer.Tickets, Valid: answer.Valid}, nil
}

func (n *Node) answerAdvise(ctx context.Context, call adviseCall) (adviseAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Within)
	defer cancel()
	advice, err := n.platform.Advisor.Advise(ctx, call.Step, call.Workers)
	return adviseAnswer{advice.Tickets, advice.Valid}, err
}

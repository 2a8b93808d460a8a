package node

import (
	"context"
	"sort"
	"time"

	"chutereach/codec"
	"chutereach/fleet"
	"chutereach/leadership"
	"chutereach/peer"
	"chutereach/rowstore"
	"chutereach/scheduler"
	"chutereach/wait"
)

const (
	nodesTable   = "nodes"
	lookEvery    = 50 * time.Millisecond
	pingTimeout  = 150 * time.Millisecond
	storeTimeout = 1500 * time.Millisecond
	// unchangedFor is how long an owner's row must stay as it is for the owner to
	// count as dead; owners write about twice in this time.
	unchangedFor = 500 * time.Millisecond
	rankDelay    = 120 * time.Millisecond
	loadTimeout  = 3 * time.Second
	registerWait = 200 * time.Millisecond
	// holdTimeout is how long a handover waits for a transaction under way; a
	// store that does not answer keeps it for longer.
	holdTimeout = 200 * time.Millisecond
	// quickLook is how quickly the store must answer an heir, and handoverTimeout
	// how long one heir is waited for.
	quickLook       = 150 * time.Millisecond
	handoverTimeout = 700 * time.Millisecond
	// heirTries is how often an heir tries to take a shard that still changes.
	heirTries = 3
)

// register writes the node's row, so that owners find it, and reads the others'.
func (n *Node) register(ctx context.Context) {
	key := rowstore.Key{Table: nodesTable, Name: n.config.Self.Node}
	put := rowstore.Put{Key: key, Value: codec.MustMarshal(n.config.Self)}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := n.platform.Store.Commit(callCtx, rowstore.Transaction{Puts: []rowstore.Put{put}})
		if err == nil {
			err = n.readMembers(callCtx)
		}
		cancel()
		if err == nil {
			n.storeAnswers()
			return
		}
		n.storeFails(err)
		wait.For(ctx, registerWait)
	}
}

func (n *Node) readMembers(ctx context.Context) error {
	rows, _, err := rowstore.ReadAll(ctx, n.platform.Store, nodesTable, "")
	if err != nil {
		return err
	}
	byName := make(map[string]rowstore.Row, len(rows))
	for _, row := range rows {
		byName[row.Name] = row
	}
	n.setMembers(byName)
	return nil
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
		n.members[member.Node] = member
	}
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

// watchOwner takes the shard when its owner is gone.
func (n *Node) watchOwner(ctx context.Context) {
	var d doubt
	for ctx.Err() == nil {
		wait.For(ctx, lookEvery)
		n.mu.Lock()
		quiet := n.own != nil || n.stopping || time.Since(n.beatAt) < ownerSilent
		owner := n.owner
		n.mu.Unlock()
		if quiet {
			d = doubt{}
			continue
		}
		n.examine(ctx, &d, owner)
	}
}

// doubt is what a node has seen of an owner that it does not hear.
type doubt struct {
	version uint64    // of the owner's row
	since   time.Time // when the row was first seen at that version
}

// examine asks the owner and the store, and takes the shard if both say that
// nobody owns it.
func (n *Node) examine(ctx context.Context, d *doubt, owner ownership) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := make(chan verdict, 1)
	n.tasks.Go(func() { asked <- n.askOwner(callCtx, owner) })
	seen, err := leadership.Look(callCtx, n.platform.Store, n.config.Scheduler.Shard)
	if err != nil {
		n.storeFails(err)
		return
	}
	n.storeAnswers()
	now := time.Now()
	if seen.Version != d.version {
		*d = doubt{seen.Version, now}
	}
	var said verdict
	select {
	case said = <-asked:
	case <-callCtx.Done():
		return
	}
	if said == ownerAlive {
		return
	}
	if seen.Version != 0 && seen.Address != owner.Address && seen.Node != n.config.Self.Node {
		if said = n.askOwner(ctx, ownership{seen.Node, seen.Address, 0}); said == ownerAlive {
			return
		}
	}
	gone := said == ownerGone || seen.Version == 0 || seen.Node == n.config.Self.Node
	if !gone && now.Sub(d.since) < unchangedFor {
		return
	}
	if !n.myTurn(ctx, seen) {
		return
	}
	n.take(ctx, seen, "the owner "+seen.Node+" is silent")
}

// verdict is what asking an owner came to.
type verdict int

const (
	ownerSaysNothing verdict = iota
	ownerAlive               // there is an owner that answers
	ownerGone                // the node answers that it owns nothing, or its machine that nobody listens
)

// askOwner asks the node that is believed to own the shard.
func (n *Node) askOwner(ctx context.Context, owner ownership) verdict {
	if owner.Address == "" {
		return ownerSaysNothing
	}
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answer, err := peer.Call[pingAnswer](callCtx, n.client, owner.Address, pingPath, nothing{})
	switch {
	case err != nil && isRefused(err):
		return ownerGone
	case err != nil:
		return ownerSaysNothing
	case answer.Owns:
		n.heard(answer.Owner)
		return ownerAlive
	case answer.Owner.Token > owner.Token && owner.Token != 0 && answer.Owner.Address != owner.Address:
		n.believe(answer.Owner)
		return ownerSaysNothing
	}
	return ownerGone
}

// doubtOwner has the owner examined at once: its machine refuses connections.
func (n *Node) doubtOwner(owner ownership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner == owner && n.own == nil {
		n.beatAt = time.Time{}
	}
}

// myTurn waits so that nodes try one after the other, and tells whether there is
// still no owner.
func (n *Node) myTurn(ctx context.Context, seen leadership.Sighting) bool {
	n.mu.Lock()
	rank := 0
	for _, member := range n.others() {
		if member.Node < n.config.Self.Node && member.Node != seen.Node {
			rank++
		}
	}
	n.mu.Unlock()
	begun := time.Now()
	wait.For(ctx, time.Duration(rank)*rankDelay)
	n.mu.Lock()
	defer n.mu.Unlock()
	return ctx.Err() == nil && n.own == nil && !n.stopping && n.beatAt.Before(begun)
}

// take makes this node the owner, if the row still is as it was seen.
func (n *Node) take(ctx context.Context, seen leadership.Sighting, why string) error {
	n.takeMu.Lock()
	defer n.takeMu.Unlock()
	n.mu.Lock()
	owns, stopping := n.own != nil, n.stopping
	n.mu.Unlock()
	if owns {
		return nil
	}
	if stopping {
		return &StoppingError{}
	}
	begun := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	self := n.config.Self
	reign, err := leadership.Take(callCtx, n.platform.Store, n.config.Scheduler.Shard, self.Node, self.Address, seen)
	if err != nil {
		n.log.Info().Err(err).Str("why", why).Msg("shard not taken")
		return err
	}
	n.storeAnswers()
	n.log.Info().Uint64("token", reign.Token()).Uint64("from", seen.Version).Str("why", why).Msg("shard taken")
	n.heard(ownership{self.Node, self.Address, reign.Token()})
	n.rule(reign, begun)
	return nil
}

// rule runs the shard in the background until the reign ends.
func (n *Node) rule(reign *leadership.Reign, begun time.Time) {
	ctx, cancel := context.WithCancel(n.ctx)
	own := scheduler.New(n.config.Scheduler, n.platform.Store, n.platform.Workers, reign, n.metrics, n.log)
	n.mu.Lock()
	n.own, n.endOwn, n.ownSince = own, cancel, time.Now()
	n.mu.Unlock()
	n.announce()
	n.tasks.Go(func() {
		defer cancel()
		err := n.load(ctx, own)
		if err == nil {
			n.log.Info().Uint64("token", reign.Token()).Dur("took", time.Since(begun)).Msg("shard loaded")
			n.setLanes()
			n.tasks.Go(func() { n.platform.FollowWorkers(ctx, own.SetWorkers) })
			n.tasks.Go(func() {
				rowstore.Follow(ctx, n.platform.Store, nodesTable, "", func(rows map[string]rowstore.Row) {
					n.setMembers(rows)
					n.setLanes()
				}, rowstore.Reach{})
			})
			close(own.Loaded)
			err = own.Run(ctx)
		}
		n.mu.Lock()
		if n.own == own {
			n.own, n.endOwn = nil, nil
		}
		n.beatAt = time.Time{}
		n.mu.Unlock()
		n.log.Info().Uint64("token", reign.Token()).Err(err).Msg("reign over")
	})
}

// load reads the shard's rows until that succeeds.
func (n *Node) load(ctx context.Context, own *scheduler.Scheduler) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		err := own.Load(callCtx)
		cancel()
		if err == nil {
			if table, ok := n.routes.Current(); ok {
				own.SetQueues(table.Queues())
			}
			return nil
		}
		n.log.Warn().Err(err).Msg("shard cannot be loaded yet")
		if err := wait.For(ctx, registerWait); err != nil {
			return err
		}
	}
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

// anyHeir is the choice of an owner that must not be.
func anyHeir(peerState) bool { return true }

// handOver has another node that reaches the store, and that fits, take the shard.
func (n *Node) handOver(ctx context.Context, why string, fits func(peerState) bool) {
	n.mu.Lock()
	var heirs []Member
	for _, member := range n.others() {
		if state := n.peers[member.Node]; state.storeOK && time.Since(state.heard) < storeFresh && fits(state) {
			heirs = append(heirs, member)
		}
	}
	sort.SliceStable(heirs, func(i, k int) bool { return n.peers[heirs[i].Node].lag < n.peers[heirs[k].Node].lag })
	own := n.own
	n.mu.Unlock()
	if own == nil || len(heirs) == 0 {
		return
	}
	holdCtx, cancelHold := context.WithTimeout(ctx, holdTimeout)
	release, err := own.Hold(holdCtx)
	cancelHold()
	if err == nil {
		defer release()
	}
	for _, heir := range heirs {
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		_, err := peer.Call[nothing](callCtx, n.client, heir.Address, takeoverPath, takeoverCall{n.config.Self.Node})
		cancel()
		n.log.Info().Str("heir", heir.Node).Str("why", why).Err(err).Msg("handing the shard over")
		if err != nil {
			continue
		}
		n.mu.Lock()
		if n.own == own && n.endOwn != nil {
			n.endOwn()
		}
		n.mu.Unlock()
		return
	}
}

// answerTakeover takes the shard over from its owner, if the store answers this
// node quickly: one that is slow for all is no reason to hand over.
func (n *Node) answerTakeover(_ context.Context, call takeoverCall) (nothing, error) {
	quick, cancel := context.WithTimeout(n.ctx, quickLook)
	defer cancel()
	if _, err := leadership.Look(quick, n.platform.Store, n.config.Scheduler.Shard); err != nil {
		return nothing{}, err
	}
	var err error
	for range heirTries {
		if err = n.inherit(n.ctx, call.From); err == nil {
			break
		}
	}
	return nothing{}, err
}

// inherit takes the shard from a node that hands it over.
func (n *Node) inherit(parent context.Context, from string) error {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
	defer cancel()
	seen, err := leadership.Look(ctx, n.platform.Store, n.config.Scheduler.Shard)
	if err != nil {
		return err
	}
	if seen.Version != 0 && seen.Node != from && seen.Node != n.config.Self.Node {
		return &NotOwnerError{}
	}
	return n.take(parent, seen, "handed over by "+from)
}

package box

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"chutereach/api"
	"chutereach/cell"
	"chutereach/commit"
	"chutereach/config"
	"chutereach/control"
	"chutereach/hall"
	"chutereach/logs"
	"chutereach/member"
	"chutereach/ownership"
	"chutereach/peer"
	"chutereach/publish"
	"chutereach/route"
	"chutereach/timeline"
)

const (
	// concurrentInserts is the number of concurrent transactions that insert jobs and
	// claims.
	concurrentInserts = 4
	// rateBurst is the burst size of the rate limit on transactions.
	rateBurst = 20
	// endpointsInterval is the interval between updates of the endpoints of local units.
	endpointsInterval = 250 * time.Millisecond
)

// incarnation holds the components of one incarnation of a box.
type incarnation struct {
	box       *Box
	self      control.BoxRow
	manager   *ownership.Manager
	sender    *commit.Sender
	inserts   *commit.Group
	publisher *publish.Publisher
	members   *member.Members
	router    *route.Router
	cell      *cell.Cell
	units     *unitSet
	api       http.Handler
	peers     http.Handler
}

func (b *Box) newIncarnation(i control.Incarnation) *incarnation {
	inc := &incarnation{box: b, self: control.BoxRow{
		Incarnation: i, Hall: b.set.Box.Hall, Peer: b.peers.Addr(), HTTP: b.HTTP(),
	}}
	inc.sender = commit.NewSender(b.platform.Table, rate.NewLimiter(rate.Limit(b.set.Platform.Rate), rateBurst))
	inc.inserts = commit.NewGroup(inc.sender)
	inc.publisher = publish.New(inc.sender, b.events, logs.For(b.log, logs.Publish))
	inc.units = newUnitSet(inc)
	times := ownership.Settings{HeartbeatInterval: b.set.Times.Beat, HeartbeatTimeout: b.set.Times.Lapse}
	inc.manager = ownership.New(inc.self, times, inc.sender, inc.units, logs.For(b.log, logs.Ownership))
	inc.members = member.New(inc.self, b.client, b.clock, inc.state)
	inc.router = route.New(route.Deps{
		Self: inc.self, Members: inc.members, Client: b.client, Claims: inc.inserts, MaxDeadline: inc.longestDeadline, Leaving: b.isLeavingOrDrained,
		Log: logs.For(b.log, logs.Route),
	})
	inc.cell = cell.New(cell.Deps{
		Self: inc.self, Units: inc.units, Members: inc.members, Client: b.client, Publisher: inc.publisher, Sender: inc.sender,
		Inserts: inc.inserts, View: inc.manager.View, Events: b.events, Log: logs.For(b.log, logs.API),
	})
	inc.connect()
	return inc
}

// connect registers the callbacks and handlers that link the components.
func (inc *incarnation) connect() {
	inc.members.OnChange(inc.router.Refresh)
	inc.publisher.OnApply(func(r config.Revision) {
		inc.manager.SetUnits(control.AllUnitNames(r.Set))
		_, drained := r.Set.Drains[config.Drain{Target: config.TargetBox, Name: inc.box.set.Box.Name}.Key()]
		inc.box.drained.Store(drained)
		inc.manager.SetDrained(drained)
		inc.units.applyConfig()
		inc.router.Refresh()
	})
	mux := http.NewServeMux()
	inc.cell.Serve(mux)
	peer.Handle(mux, inc.router.ForwardPath(), inc.router.ServeForward)
	peer.Handle(mux, inc.router.PullPath(), inc.router.ServePull)
	peer.Handle(mux, inc.router.TicketPath(), inc.router.ServeTicket)
	peer.Handle(mux, inc.router.HandoverPath(), inc.router.ServeHandover)
	inc.peers = mux
	server := &api.Server{
		Cell: inc.cell, Router: inc.router, Config: inc.publisher.Current, History: inc.publisher.History,
		Revision: inc.publisher.Read, Ready: inc.box.ready, Token: inc.box.set.Operator.Token, Box: inc.box.set.Box.Name,
	}
	inc.api = server.Mux()
	inc.publishMetrics()
}

// longestDeadline returns the longest deadline of all routes to a service.
func (inc *incarnation) longestDeadline(service string) time.Duration {
	var longest time.Duration
	for _, r := range inc.publisher.Current().Set.Routes {
		if r.Service == service {
			longest = max(longest, r.Deadline)
		}
	}
	return longest
}

// run runs until ctx ends or another box declares this incarnation dead.
func (inc *incarnation) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	inc.manager.OnView(func(v control.View) {
		inc.publisher.FollowHead(ctx, v)
		inc.members.SetView(ctx, v)
	})
	var wg sync.WaitGroup
	wg.Go(func() { inc.inserts.Run(ctx, concurrentInserts) })
	wg.Go(func() { inc.followEndpoints(ctx) })
	err := inc.manager.Run(ctx)
	cancel()
	inc.units.stopAll()
	wg.Wait()
	return err
}

// ready returns an error until the box has read the table or has a revision. After that
// it returns an error only if the box could not check for a newer revision for longer
// than cutoff and no peer confirms the current one.
func (inc *incarnation) ready(cutoff time.Duration) error {
	if inc.publisher.Current().Number == 0 && inc.manager.View().RequestedAt.IsZero() {
		return &NotReadyError{"the table has not been read yet"}
	}
	if time.Since(inc.publisher.HeadCheckedAt()) > cutoff && !inc.peerConfirmsRevision(cutoff) {
		return &NotReadyError{"no word of the configuration for too long"}
	}
	return nil
}

// peerConfirmsRevision reports whether a peer that responded within the given time
// knows no newer revision. If no box reaches the table, the revision on which they
// agree remains valid.
func (inc *incarnation) peerConfirmsRevision(within time.Duration) bool {
	for _, p := range inc.members.Peers() {
		if time.Since(p.LastResponse) < within && p.State.Revision <= inc.publisher.Current().Number {
			return true
		}
	}
	return len(inc.members.Peers()) == 0 && inc.publisher.Current().Number > 0
}

// state returns the state that the box reports to its peers.
func (inc *incarnation) state() member.State {
	s := member.State{
		Incarnation: inc.self.Incarnation, Stamp: inc.box.clock.Now(), Revision: inc.publisher.Current().Number,
		InForce: inc.publisher.InForceSince(), Leaving: inc.box.isLeavingOrDrained(), Ready: inc.box.ready() == nil,
		Loads: inc.router.Loads(),
	}
	for _, u := range inc.units.All() {
		s.Units = append(s.Units, u.Summary())
	}
	return s
}

// followEndpoints publishes the endpoints of the local units and fetches newer
// revisions that peers report.
func (inc *incarnation) followEndpoints(ctx context.Context) {
	tick := time.NewTicker(endpointsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		inc.cell.CatchUp()
		for _, u := range inc.units.All() {
			if s := u.Summary(); s.Ready {
				inc.members.SetLocalEndpoints(s.Unit, s.Epoch, u.Endpoints())
			}
		}
	}
}

// unitSet holds the units that an incarnation owns. It implements
// ownership.UnitRunner and cell.Units.
type unitSet struct {
	incarnation *incarnation
	mu          sync.Mutex
	byName      map[string]*hall.Unit
}

func newUnitSet(inc *incarnation) *unitSet {
	return &unitSet{incarnation: inc, byName: map[string]*hall.Unit{}}
}

func (s *unitSet) StartUnit(h ownership.Assignment) {
	b := s.incarnation.box
	set := hall.DefaultSettings
	set.ClockError = b.set.Times.ClockError
	u := hall.New(h, set, hall.Deps{
		Workers: b.platform.Workers, Boxes: b.platform.Boxes, Sender: s.incarnation.sender, OwnedUntil: s.incarnation.manager.OwnedUntil,
		Config: s.incarnation.publisher.Current, Events: b.events, Log: logs.For(b.log, logs.Hall),
	})
	s.mu.Lock()
	s.byName[h.Unit] = u
	s.mu.Unlock()
	b.events.Add(timeline.Event{Kind: timeline.UnitOwned, Unit: h.Unit})
	go func() {
		if err := u.Run(); err != nil {
			b.log.Warn().Err(err).Msg("unit lost, releasing it")
			b.log.Debug().Str("stack", eris.ToString(err, true)).Msg("stack of the error that ended the unit")
			s.incarnation.manager.Release(context.Background(), h.Unit)
		}
	}()
}

func (s *unitSet) StopUnit(unit string) time.Time {
	s.mu.Lock()
	u := s.byName[unit]
	delete(s.byName, unit)
	s.mu.Unlock()
	if u == nil {
		return time.Now()
	}
	validUntil := u.Stop()
	s.incarnation.box.events.Add(timeline.Event{Kind: timeline.UnitLost, Unit: unit})
	return validUntil
}

func (s *unitSet) stopAll() {
	for _, u := range s.All() {
		u.Stop()
	}
}

// applyConfig makes all units apply the current revision.
func (s *unitSet) applyConfig() {
	for _, u := range s.All() {
		u.ApplyConfig()
	}
}

// Unit returns the unit with a name, or nil if this incarnation does not own it.
func (s *unitSet) Unit(name string) *hall.Unit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

// All returns the owned units in no particular order.
func (s *unitSet) All() []*hall.Unit {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*hall.Unit, 0, len(s.byName))
	for _, u := range s.byName {
		all = append(all, u)
	}
	return all
}

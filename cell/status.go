package cell

import (
	"context"
	"maps"
	"slices"
	"time"

	"chutereach/config"
	"chutereach/hall"
	"chutereach/peer"
	"chutereach/publish"
	"chutereach/timeline"
	"chutereach/transfer"
)

// Timeline returns the events of all boxes in causal order, and the names of the boxes
// that did not respond.
func (c *Cell) Timeline(ctx context.Context, f timeline.Filter) (timeline.Page, []string) {
	pages, unresponsive := callAll(ctx, c, pathTimeline, f, c.localTimeline)
	return timeline.Merge(pages...), unresponsive
}

func (c *Cell) localTimeline(_ context.Context, f timeline.Filter) (timeline.Page, error) {
	return c.Events.Read(f), nil
}

// BoxStatus is the state of a box as seen by the box that responds.
type BoxStatus struct {
	Name        string    `json:"name"`
	Incarnation string    `json:"incarnation"`
	Hall        string    `json:"hall"`
	HTTP        string    `json:"http"`
	State       BoxState  `json:"state"`
	Revision    uint64    `json:"revision"`
	InForce     time.Time `json:"in_force"` // time at which Revision came into force
	Units       []string  `json:"units"`
}

// BoxState tells whether a box accepts requests.
type BoxState string

// States of a box.
const (
	BoxReady        BoxState = "ready"
	BoxNotReady     BoxState = "not ready"
	BoxLeaving      BoxState = "leaving"
	BoxUnresponsive BoxState = "silent" // it has not responded recently
)

// Status is the state of the cell as seen by the box that responds.
type Status struct {
	AnsweredBy string         `json:"asked"` // name of the box that responds
	Revision   uint64         `json:"revision"`
	Author     string         `json:"author"`
	Boxes      []BoxStatus    `json:"boxes"`
	Units      []hall.Summary `json:"units"`
	Templates  []string       `json:"templates"`
	Routes     []string       `json:"routes"`
}

// Status returns the state of the cell as known to this box, without calls to others.
// Ready tells whether this box accepts requests.
func (c *Cell) Status(ready bool) Status {
	rev := c.Publisher.Current()
	s := Status{AnsweredBy: c.Self.Incarnation.Box(), Revision: rev.Number, Author: rev.Author}
	s.Templates = sortedKeys(rev.Set.Templates)
	s.Routes = sortedKeys(rev.Set.Routes)
	s.Boxes = append(s.Boxes, c.localStatus(ready))
	for _, p := range c.Members.Peers() {
		b := BoxStatus{
			Name: p.Row.Incarnation.Box(), Incarnation: string(p.Row.Incarnation), Hall: p.Row.Hall, HTTP: p.Row.HTTP,
			State: BoxReady, Revision: p.State.Revision, InForce: p.State.InForce,
		}
		switch {
		case !p.Alive():
			b.State = BoxUnresponsive
		case p.State.Leaving:
			b.State = BoxLeaving
		case !p.State.Ready:
			b.State = BoxNotReady
		}
		for _, u := range p.State.Units {
			b.Units = append(b.Units, u.Unit)
		}
		s.Boxes = append(s.Boxes, b)
	}
	all := c.summaries()
	for _, unit := range sortedKeys(all) {
		s.Units = append(s.Units, all[unit])
	}
	return s
}

func (c *Cell) localStatus(ready bool) BoxStatus {
	b := BoxStatus{
		Name: c.Self.Incarnation.Box(), Incarnation: string(c.Self.Incarnation), Hall: c.Self.Hall, HTTP: c.Self.HTTP,
		State: BoxNotReady, Revision: c.Publisher.Current().Number, InForce: c.Publisher.InForceSince(),
	}
	if ready {
		b.State = BoxReady
	}
	for _, u := range c.Units.All() {
		b.Units = append(b.Units, u.Summary().Unit)
	}
	return b
}

// Propose publishes a change of the configuration and pushes the new revision to all
// boxes in the background.
func (c *Cell) Propose(ctx context.Context, p publish.Proposal) (config.Revision, error) {
	r, err := c.Publisher.Propose(ctx, p)
	if err != nil {
		return r, err
	}
	go c.push(r)
	return r, nil
}

// revisionStallTimeout is how long the transfer of a revision between boxes may make no
// progress. A box that misses a push fetches the revision from the table or from a peer.
const revisionStallTimeout = 2 * time.Second

func (c *Cell) push(r config.Revision) {
	ctx, cancel := transfer.WithStallLimit(context.Background(), revisionStallTimeout, nil)
	defer cancel()
	callAll(ctx, c, pathRevision, r, c.applyRevision)
}

// CatchUp fetches revisions that peers report and that are newer than the current one.
func (c *Cell) CatchUp() {
	for _, p := range c.Members.Peers() {
		c.Publisher.ApplyFromPeer(p.State.Revision, func() (config.Revision, error) {
			ctx, cancel := transfer.WithStallLimit(context.Background(), revisionStallTimeout, nil)
			defer cancel()
			return peer.Call[config.Revision](ctx, c.Client, p.Row.Peer, pathCurrent, empty{})
		})
	}
}

func (c *Cell) localRevision(context.Context, empty) (config.Revision, error) {
	return c.Publisher.Current(), nil
}

func (c *Cell) applyRevision(_ context.Context, r config.Revision) (empty, error) {
	c.Publisher.Apply(r)
	return empty{}, nil
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

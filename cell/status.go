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

// Timeline returns the events of all boxes in causal order, and the boxes that
// did not answer.
func (c *Cell) Timeline(ctx context.Context, f timeline.Filter) (timeline.Page, []string) {
	pages, silent := everywhere(ctx, c, pathTimeline, f, c.ownTimeline)
	return timeline.Merge(pages...), silent
}

func (c *Cell) ownTimeline(_ context.Context, f timeline.Filter) (timeline.Page, error) {
	return c.Events.Read(f), nil
}

// BoxStatus is a box as the box that was asked sees it.
type BoxStatus struct {
	Name        string    `json:"name"`
	Incarnation string    `json:"incarnation"`
	Hall        string    `json:"hall"`
	HTTP        string    `json:"http"`
	State       BoxState  `json:"state"`
	Revision    uint64    `json:"revision"`
	InForce     time.Time `json:"in_force"` // since when
	Units       []string  `json:"units"`
}

// BoxState says whether a box takes requests.
type BoxState string

// The states of a box.
const (
	BoxReady    BoxState = "ready"
	BoxNotReady BoxState = "not ready"
	BoxLeaving  BoxState = "leaving"
	BoxSilent   BoxState = "silent"
)

// Status is the cell as the box that was asked sees it.
type Status struct {
	Asked     string         `json:"asked"` // the box that answers
	Revision  uint64         `json:"revision"`
	Author    string         `json:"author"`
	Boxes     []BoxStatus    `json:"boxes"`
	Units     []hall.Summary `json:"units"`
	Templates []string       `json:"templates"`
	Routes    []string       `json:"routes"`
}

// Status returns what this box knows without asking anyone.
func (c *Cell) Status(ready bool) Status {
	rev := c.Publisher.Current()
	s := Status{Asked: c.Self.Incarnation.Box(), Revision: rev.Number, Author: rev.Author}
	s.Templates = names(rev.Set.Templates)
	s.Routes = names(rev.Set.Routes)
	s.Boxes = append(s.Boxes, c.ownStatus(ready))
	for _, p := range c.Members.Peers() {
		b := BoxStatus{
			Name: p.Row.Incarnation.Box(), Incarnation: string(p.Row.Incarnation), Hall: p.Row.Hall, HTTP: p.Row.HTTP,
			State: BoxReady, Revision: p.State.Revision, InForce: p.State.InForce,
		}
		switch {
		case !p.Alive():
			b.State = BoxSilent
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
	for _, unit := range names(all) {
		s.Units = append(s.Units, all[unit])
	}
	return s
}

func (c *Cell) ownStatus(ready bool) BoxStatus {
	b := BoxStatus{
		Name: c.Self.Incarnation.Box(), Incarnation: string(c.Self.Incarnation), Hall: c.Self.Hall, HTTP: c.Self.HTTP,
		State: BoxNotReady, Revision: c.Publisher.Current().Number, InForce: c.Publisher.Since(),
	}
	if ready {
		b.State = BoxReady
	}
	for _, u := range c.Units.All() {
		b.Units = append(b.Units, u.Summary().Unit)
	}
	return b
}

// Propose accepts a change of configuration and pushes it to every box.
func (c *Cell) Propose(ctx context.Context, p publish.Proposal) (config.Revision, error) {
	r, err := c.Publisher.Propose(ctx, p)
	if err != nil {
		return r, err
	}
	go c.push(r)
	return r, nil
}

// pushQuiet is for how long nothing may move of a revision between boxes. A box that a push
// does not reach reads the head, or asks its peers.
const pushQuiet = 2 * time.Second

func (c *Cell) push(r config.Revision) {
	ctx, cancel := transfer.WithStallLimit(context.Background(), pushQuiet, nil)
	defer cancel()
	everywhere(ctx, c, pathRevision, r, c.pushed)
}

// CatchUp gets the newest revision that any peer has said it has.
func (c *Cell) CatchUp() {
	for _, p := range c.Members.Peers() {
		c.Publisher.Heard(p.State.Revision, func() (config.Revision, error) {
			ctx, cancel := transfer.WithStallLimit(context.Background(), pushQuiet, nil)
			defer cancel()
			return peer.Call[config.Revision](ctx, c.Client, p.Row.Peer, pathCurrent, none{})
		})
	}
}

func (c *Cell) ownCurrent(context.Context, none) (config.Revision, error) {
	return c.Publisher.Current(), nil
}

func (c *Cell) pushed(_ context.Context, r config.Revision) (none, error) {
	c.Publisher.Apply(r)
	return none{}, nil
}

// names returns the keys of m in order.
func names[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

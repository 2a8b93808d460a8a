package route

import (
	"context"
	"time"

	"chutereach/control"
	"chutereach/member"
	"chutereach/peer"
)

// A box whose queue runs low pulls requests from the box that has the most
// waiting, so that the queues of all boxes together come close to one queue over
// all slots. Urgent requests are pulled even by a box that has others waiting:
// none of them shall wait at one box while another serves batch.

const (
	pullPath = "/peer/pull"
	// pullTries is how many peers are asked before a box rests.
	pullTries = 3
	// pullTimeout bounds one question.
	pullTimeout = time.Second
	// lowWater is the share of a box's slots below which its queue runs low, as
	// one part in so many.
	lowWater = 2
)

// pullRequest asks a box to hand on requests that wait at it.
type pullRequest struct {
	Service string         `cbor:"1,keyasint"`
	To      control.BoxRow `cbor:"2,keyasint"`
	N       int            `cbor:"3,keyasint"`
	Urgent  bool           `cbor:"4,keyasint"` // only urgent ones
}

// pullReply says how many requests are on their way.
type pullReply struct {
	Given int         `cbor:"1,keyasint"`
	Load  member.Load `cbor:"2,keyasint"`
}

// ask carries a pullRequest to another box.
type ask func(ctx context.Context, to control.BoxRow, p pullRequest) (pullReply, error)

func askPeer(c *peer.Client) ask {
	return func(ctx context.Context, to control.BoxRow, p pullRequest) (pullReply, error) {
		return peer.Call[pullReply](ctx, c, to.Peer, pullPath, p)
	}
}

// PullPath is where Pulled must be served.
func (r *Router) PullPath() string { return pullPath }

// Pulled serves a box that pulls.
func (r *Router) Pulled(_ context.Context, p pullRequest) (pullReply, error) {
	from := r.pool(p.Service)
	n := from.give(p.N, p.Urgent, p.To)
	return pullReply{n, from.load()}, nil
}

// ranLow is called by a pool whose queue runs low. One pull is under way at a
// time.
func (r *Router) ranLow(service string, p *pool) {
	if !p.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.pulling.Store(false)
		r.pull(service, p)
	}()
}

func (r *Router) pull(service string, p *pool) {
	for range pullTries {
		n, urgent := p.wants()
		victim, found := r.victim(service, p.load(), urgent)
		if n <= 0 || !found {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		got, err := r.ask(ctx, victim.Row, pullRequest{service, r.row, n, urgent})
		cancel()
		if err != nil {
			return
		}
		r.Stats.Pulled.Add(int64(got.Given))
		r.members.SetLoad(victim.Row.Incarnation, service, got.Load)
	}
}

// victim returns the peer that has the most waiting for its slots, if it has
// clearly more than this box.
func (r *Router) victim(service string, own member.Load, urgent bool) (member.PeerLoad, bool) {
	var worst member.PeerLoad
	most := 0.0
	for _, p := range r.peers(service) {
		if w := waitingAt(p.Load, urgent); w > most {
			worst, most = p, w
		}
	}
	return worst, most > waitingAt(own, urgent)+1/float64(max(own.Slots, 1))
}

// waitingAt returns how many requests wait at a box for each of its slots.
func waitingAt(l member.Load, urgent bool) float64 {
	n := l.Queued
	if urgent {
		n = l.Urgent
	}
	return float64(n) / float64(max(l.Slots, 1))
}

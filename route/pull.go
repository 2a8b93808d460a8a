package route

import (
	"context"
	"time"

	"chutereach/control"
	"chutereach/member"
	"chutereach/peer"
)

const (
	pullPath = "/peer/pull"
	// maxPulls bounds the requests to peers in one pull.
	maxPulls = 3
	// pullTimeout bounds one call to a peer.
	pullTimeout = time.Second
	// A pool pulls when its waiting urgent requests are fewer than its slots divided by
	// lowWaterDivisor.
	lowWaterDivisor = 2
)

// pullRequest asks a box to hand over waiting requests.
type pullRequest struct {
	Service    string         `cbor:"1,keyasint"`
	To         control.BoxRow `cbor:"2,keyasint"`
	Limit      int            `cbor:"3,keyasint"`
	UrgentOnly bool           `cbor:"4,keyasint"`
}

// pullReply says how many requests the box is forwarding, and its load after that.
type pullReply struct {
	Given int         `cbor:"1,keyasint"`
	Load  member.Load `cbor:"2,keyasint"`
}

// pullFunc sends a pullRequest to another box.
type pullFunc func(ctx context.Context, to control.BoxRow, p pullRequest) (pullReply, error)

func newPullFunc(c *peer.Client) pullFunc {
	return func(ctx context.Context, to control.BoxRow, p pullRequest) (pullReply, error) {
		return peer.Call[pullReply](ctx, c, to.Peer, pullPath, p)
	}
}

// PullPath is the path at which ServePull must be registered.
func (r *Router) PullPath() string { return pullPath }

// ServePull handles a pullRequest.
func (r *Router) ServePull(_ context.Context, p pullRequest) (pullReply, error) {
	from := r.pool(p.Service)
	n := from.redirectWaiting(p.Limit, p.UrgentOnly, p.To)
	return pullReply{n, from.load()}, nil
}

// startPull starts a pull for a pool unless one is in progress.
func (r *Router) startPull(service string, p *pool) {
	if !p.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.pulling.Store(false)
		r.pull(service, p)
	}()
}

// pull takes requests from the box with the most waiting per slot, so that all queues
// together approximate one queue over all slots. A box that has other requests waiting
// still pulls urgent ones, so that none of them waits at one box while another serves
// batch requests.
func (r *Router) pull(service string, p *pool) {
	for range maxPulls {
		n, urgentOnly := p.pullDemand()
		source, found := r.pullSource(service, p.load(), urgentOnly)
		if n <= 0 || !found {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		got, err := r.pullFromPeer(ctx, source.Row, pullRequest{service, r.row, n, urgentOnly})
		cancel()
		if err != nil {
			return
		}
		r.Stats.Pulled.Add(int64(got.Given))
		r.members.SetLoad(source.Row.Incarnation, service, got.Load)
	}
}

// pullSource returns the peer with the most waiting requests per slot. It reports false
// unless that exceeds this box's own figure by more than one request.
func (r *Router) pullSource(service string, own member.Load, urgentOnly bool) (member.PeerLoad, bool) {
	var source member.PeerLoad
	most := 0.0
	for _, p := range r.peers(service) {
		if w := waitingPerSlot(p.Load, urgentOnly); w > most {
			source, most = p, w
		}
	}
	return source, most > waitingPerSlot(own, urgentOnly)+1/float64(max(own.Slots, 1))
}

// waitingPerSlot returns the waiting requests of a box divided by its slots.
func waitingPerSlot(l member.Load, urgentOnly bool) float64 {
	n := l.Queued
	if urgentOnly {
		n = l.Urgent
	}
	return float64(n) / float64(max(l.Slots, 1))
}

package route

import (
	"context"
	"time"

	"chutereach/control"
	"chutereach/hall"
	"chutereach/member"
	"chutereach/peer"
)

const (
	handoverPath = "/peer/handover"
	// handoverPollInterval is the time between two queries to the former home.
	handoverPollInterval = 50 * time.Millisecond
	// movedDuration is how long a former home sends an upstream no requests after a query,
	// even if it has not learned of the change that moved the upstream.
	movedDuration = 10 * time.Second
)

// handoverRequest tells a former home that an upstream has moved.
type handoverRequest struct {
	Service string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
}

// queryHandoverFunc sends a handoverRequest to the former home of an upstream and
// returns how many requests that box still has there.
type queryHandoverFunc func(ctx context.Context, to control.BoxRow, h handoverRequest) (int, error)

func newQueryHandoverFunc(c *peer.Client) queryHandoverFunc {
	return func(ctx context.Context, to control.BoxRow, h handoverRequest) (int, error) {
		return peer.Call[int](ctx, c, to.Peer, handoverPath, h)
	}
}

// HandoverPath is the path at which ServeHandover must be registered.
func (r *Router) HandoverPath() string { return handoverPath }

// ServeHandover handles a query from a box that has become the home of an upstream.
func (r *Router) ServeHandover(_ context.Context, h handoverRequest) (int, error) {
	return r.pool(h.Service).markMoved(h.Attempt), nil
}

// formerHome returns the home that an upstream had at the last Refresh, and whether that
// was another box. The caller holds r.mu.
func (r *Router) formerHome(attempt string) (control.Incarnation, bool) {
	if !r.knownUpstreams[attempt] || len(r.homeBoxes) == 0 {
		return "", false
	}
	former := homeOf(attempt, r.homeBoxes)
	return former, former != r.self
}

// takeOver queries the former home of an upstream and reserves the slots that it still
// uses, until it uses none. If the former home no longer responds, its slots are
// reserved until its requests have passed their deadlines, counted from its last
// response.
func (r *Router) takeOver(p *pool, e hall.Endpoint, former control.Incarnation) {
	defer p.setReserved(e.Attempt, 0)
	end := time.Now().Add(r.maxDeadline(e.Service))
	for time.Now().Before(end) {
		peer, there := r.findPeer(former)
		if !there {
			return // removed from the members only long after its last response
		}
		if !peer.Alive() {
			end = peer.LastResponse.Add(r.maxDeadline(e.Service))
		} else if n, err := r.requestsAtFormerHome(peer.Row, e); err == nil {
			p.setReserved(e.Attempt, n)
			if n == 0 {
				return
			}
		}
		time.Sleep(handoverPollInterval)
	}
}

func (r *Router) requestsAtFormerHome(former control.BoxRow, e hall.Endpoint) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	return r.queryHandover(ctx, former, handoverRequest{e.Service, e.Attempt})
}

func (r *Router) findPeer(i control.Incarnation) (member.Peer, bool) {
	for _, p := range r.members.Peers() {
		if p.Row.Incarnation == i {
			return p, true
		}
	}
	return member.Peer{}, false
}

// setReserved sets how many slots of an upstream its former home still uses.
func (p *pool) setReserved(attempt string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[attempt]
	if u == nil {
		return
	}
	u.reserved = n
	p.dispatch(time.Now())
}

// markMoved stops new requests to an upstream for movedDuration and returns how many are
// in progress.
func (p *pool) markMoved(attempt string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[attempt]
	if u == nil {
		return 0
	}
	u.movedUntil = time.Now().Add(movedDuration)
	return u.busy
}

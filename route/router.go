package route

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chutereach/commit"
	"chutereach/control"
	"chutereach/member"
	"chutereach/peer"
	"chutereach/wait"
)

const (
	forwardPath = "/peer/forward"
	// DefaultMaxAnswer bounds an upstream's answer, in bytes.
	DefaultMaxAnswer = 4 << 20
	// tries bounds how often a request is tried in all.
	tries = 3
	// retryShare is how many retries each request adds to the budget, and
	// retryBank is how many may be saved up.
	retryShare = 0.1
	retryBank  = 100
)

// Stats counts what a router did.
type Stats struct {
	Answered, NotRun, Unknown atomic.Int64
	Forwarded, Retried        atomic.Int64
	Replayed, Pulled          atomic.Int64
}

// Router is the requests' way through one box.
type Router struct {
	self      control.Incarnation
	row       control.BoxRow
	members   *member.Members
	claims    *commit.Group
	chooser   Chooser
	hopTo     hopTo
	tell      tell
	longest   func(service string) time.Duration
	leaving   func() bool
	tickets   *tickets
	ask       ask
	log       zerolog.Logger
	maxAnswer int64
	Stats     Stats

	mu    sync.Mutex
	pools map[string]*pool                       // by service
	boxes []control.Incarnation                  // over which homes were spread last
	known map[string]bool                        // upstreams by attempt, as of then
	slots map[string]map[control.Incarnation]int // by service and home, as of then
	bank  float64                                // retries saved up
}

// Deps are what a Router works with.
type Deps struct {
	Self    control.BoxRow
	Members *member.Members
	Client  *peer.Client
	Claims  *commit.Group
	// Longest returns the longest deadline of a service's routes.
	Longest func(service string) time.Duration
	// Leaving reports whether this box is to be home to nothing.
	Leaving func() bool
	Log     zerolog.Logger
}

// New returns a Router.
func New(d Deps) *Router {
	return &Router{
		self: d.Self.Incarnation, row: d.Self, members: d.Members, claims: d.Claims, chooser: TwoChoices{}, hopTo: hopToPeer(d.Client), tell: tellPeer(d.Client),
		longest: d.Longest, leaving: d.Leaving, tickets: newTickets(), ask: askPeer(d.Client),
		log: d.Log, maxAnswer: DefaultMaxAnswer, pools: map[string]*pool{}, known: map[string]bool{}, bank: retryBank,
	}
}

// Loads returns what this box has in hand, by service.
func (r *Router) Loads() map[string]member.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := make(map[string]member.Load, len(r.pools))
	for service, p := range r.pools {
		loads[service] = p.load()
	}
	return loads
}

func (r *Router) pool(service string) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.poolOf(service)
}

// poolOf returns a service's pool, a new one if need be. The caller holds r.mu.
func (r *Router) poolOf(service string) *pool {
	p := r.pools[service]
	if p == nil {
		p = newPool()
		p.low = func() { r.ranLow(service, p) }
		r.pools[service] = p
	}
	return p
}

// Do brings a request to its outcome: an answer, a NotRunError or an
// UnknownError.
func (r *Router) Do(ctx context.Context, req *Request) (*Answer, error) {
	a, err := r.try(ctx, req)
	r.count(err)
	return a, err
}

func (r *Router) count(err error) {
	var notRun *NotRunError
	switch {
	case err == nil:
		r.Stats.Answered.Add(1)
	case errors.As(err, &notRun):
		r.Stats.NotRun.Add(1)
	default:
		r.Stats.Unknown.Add(1)
	}
}

// try sends a request, again where that is safe and may help.
func (r *Router) try(ctx context.Context, req *Request) (*Answer, error) {
	r.earn()
	var (
		avoid avoided
		ran   *UnknownError // an earlier try, which may have run
	)
	for n := 1; ; n++ {
		a, err := r.once(ctx, req, &avoid)
		if err == nil {
			return a, nil
		}
		errors.As(err, &ran)
		if r.onTheMove(req, err) {
			n-- // nothing was tried yet
			avoid.boxes = nil
			wait.For(ctx, movedPause)
			continue
		}
		if n == tries || !mayRepeat(req, err) || ctx.Err() != nil || !r.spend() {
			return nil, whole(err, ran)
		}
		r.Stats.Retried.Add(1)
	}
}

// movedPause is for how long a request waits whose upstreams change their homes:
// the boxes agree on them within moments.
const movedPause = 10 * time.Millisecond

// onTheMove reports whether a request found no upstream only because boxes do not
// agree yet on whose they are, and has the time to wait.
func (r *Router) onTheMove(req *Request, err error) bool {
	var notRun *NotRunError
	if !errors.As(err, &notRun) || time.Until(req.Deadline) < movedPause {
		return false
	}
	if notRun.Cause != CauseMoved && notRun.Cause != CauseNoReplica {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.slots[req.Route.Service]) > 0
}

// whole returns the error that is true of all tries together: that the last one
// was not run says nothing of one before it that may have run.
func whole(last error, ran *UnknownError) error {
	if ran != nil {
		return ran
	}
	return last
}

// avoided is where a request has failed already.
type avoided struct {
	upstream string
	boxes    []control.Incarnation
}

// once sends a request to the box with the least in hand, this one included.
func (r *Router) once(ctx context.Context, req *Request, avoid *avoided) (*Answer, error) {
	to, found := r.choose(req.Route.Service, avoid.boxes)
	if !found {
		return nil, &NotRunError{CauseNoReplica, spread(time.Second)}
	}
	if to.Incarnation == r.self {
		return r.Here(ctx, req, avoid)
	}
	a, err := r.forward(ctx, to, req)
	if err != nil {
		avoid.boxes = append(avoid.boxes, to.Incarnation)
	}
	return a, err
}

// Here sends a request to an upstream whose home is this box.
func (r *Router) Here(ctx context.Context, req *Request, avoid *avoided) (*Answer, error) {
	p := r.pool(req.Route.Service)
	t, err := p.acquire(ctx, req, avoid.upstream)
	if err != nil {
		return nil, err
	}
	if t.up == nil && t.to.Incarnation == "" {
		return nil, &NotRunError{CauseMoved, spread(time.Second)}
	}
	if t.up == nil {
		return r.forward(ctx, t.to, req) // another box has pulled it
	}
	avoid.upstream = t.up.Attempt
	return p.run(ctx, t.up, req, r.maxAnswer)
}

// peers returns the peers that are homes of a service's upstreams. How many slots
// they count is worked out here: a box that has just become a home has not said
// so yet.
func (r *Router) peers(service string) []member.PeerLoad {
	r.mu.Lock()
	slots := r.slots[service]
	r.mu.Unlock()
	var homes []member.PeerLoad
	for _, p := range r.members.ServiceLoads(service) {
		if p.Load.Slots = slots[p.Row.Incarnation]; p.Load.Slots > 0 {
			homes = append(homes, p)
		}
	}
	return homes
}

// choose returns the box to which a request for a service goes.
func (r *Router) choose(service string, avoid []control.Incarnation) (control.BoxRow, bool) {
	own := r.pool(service).load()
	peers := slices.DeleteFunc(r.peers(service), func(p member.PeerLoad) bool {
		return slices.Contains(avoid, p.Row.Incarnation)
	})
	if own.Slots == 0 && len(peers) == 0 {
		return control.BoxRow{}, false
	}
	if i := r.chooser.Choose(own, peers); i != Self {
		return peers[i].Row, true
	}
	return control.BoxRow{Incarnation: r.self}, true
}

// ForwardPath is where Forwarded must be served.
func (r *Router) ForwardPath() string { return forwardPath }

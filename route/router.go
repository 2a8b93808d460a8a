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
	// DefaultMaxResponseBytes is the largest upstream response that a Router accepts.
	DefaultMaxResponseBytes = 4 << 20
	// maxTries includes the first try.
	maxTries = 3
	// Each retry takes one token, so that retries add at most a tenth to the load once the
	// initial tokens are used.
	retryTokensPerRequest = 0.1
	maxRetryTokens        = 100
)

// Stats counts requests by outcome and by how they were handled.
type Stats struct {
	Answered, NotRun, Unknown atomic.Int64
	Forwarded, Retried        atomic.Int64
	Replayed, Pulled          atomic.Int64
}

// Router queues and sends the requests of one box.
type Router struct {
	self             control.Incarnation
	row              control.BoxRow
	members          *member.Members
	claims           *commit.Group
	chooser          Chooser
	sendToPeer       sendToPeerFunc
	queryHandover    queryHandoverFunc
	maxDeadline      func(service string) time.Duration
	leaving          func() bool
	tickets          *ticketStore
	pullFromPeer     pullFunc
	log              zerolog.Logger
	maxResponseBytes int64
	Stats            Stats

	mu             sync.Mutex
	pools          map[string]*pool                       // by service
	homeBoxes      []control.Incarnation                  // boxes that homes were assigned to at the last Refresh
	knownUpstreams map[string]bool                        // by attempt, at the last Refresh
	slotsByHome    map[string]map[control.Incarnation]int // by service and home, at the last Refresh
	retryTokens    float64                                // retries that the budget allows now
}

// Deps are the dependencies of a Router.
type Deps struct {
	Self    control.BoxRow
	Members *member.Members
	Client  *peer.Client
	Claims  *commit.Group
	// MaxDeadline returns the longest deadline of a service's routes.
	MaxDeadline func(service string) time.Duration
	// Leaving reports whether this box must not be the home of any upstream.
	Leaving func() bool
	Log     zerolog.Logger
}

// New returns a Router.
func New(d Deps) *Router {
	return &Router{
		self: d.Self.Incarnation, row: d.Self, members: d.Members, claims: d.Claims, chooser: TwoChoices{}, sendToPeer: newSendToPeerFunc(d.Client), queryHandover: newQueryHandoverFunc(d.Client),
		maxDeadline: d.MaxDeadline, leaving: d.Leaving, tickets: newTicketStore(), pullFromPeer: newPullFunc(d.Client),
		log: d.Log, maxResponseBytes: DefaultMaxResponseBytes, pools: map[string]*pool{}, knownUpstreams: map[string]bool{}, retryTokens: maxRetryTokens,
	}
}

// Loads returns this box's used slots and queued requests by service.
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
	return r.poolLocked(service)
}

// poolLocked returns a service's pool and creates it if it does not exist. The caller
// holds r.mu.
func (r *Router) poolLocked(service string) *pool {
	p := r.pools[service]
	if p == nil {
		p = newPool()
		p.onLowWater = func() { r.startPull(service, p) }
		r.pools[service] = p
	}
	return p
}

// Do sends a request and waits for its outcome. The error is a *NotRunError or an
// *UnknownError.
func (r *Router) Do(ctx context.Context, req *Request) (*Response, error) {
	resp, err := r.doWithRetries(ctx, req)
	r.countOutcome(err)
	return resp, err
}

func (r *Router) countOutcome(err error) {
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

// doWithRetries sends a request and retries it where mayRetry and the retry budget
// allow.
func (r *Router) doWithRetries(ctx context.Context, req *Request) (*Response, error) {
	r.addRetryTokens()
	var (
		avoid exclusions
		ran   *UnknownError // an earlier try that may have run
	)
	for n := 1; ; n++ {
		resp, err := r.tryOnce(ctx, req, &avoid)
		if err == nil {
			return resp, nil
		}
		errors.As(err, &ran)
		if r.shouldWaitForHome(req, err) {
			n-- // does not count as a try
			avoid.boxes = nil
			wait.For(ctx, homeRetryDelay)
			continue
		}
		if n == maxTries || !mayRetry(req, err) || ctx.Err() != nil || !r.takeRetryToken() {
			return nil, combinedError(err, ran)
		}
		r.Stats.Retried.Add(1)
	}
}

// homeRetryDelay is the pause before a request is tried again while its upstreams change
// homes. It is short because the boxes agree on the new homes soon after a change.
const homeRetryDelay = 10 * time.Millisecond

// shouldWaitForHome reports whether a request found no upstream only because the boxes
// do not yet agree on the homes, and its deadline allows another try.
func (r *Router) shouldWaitForHome(req *Request, err error) bool {
	var notRun *NotRunError
	if !errors.As(err, &notRun) || time.Until(req.Deadline) < homeRetryDelay {
		return false
	}
	if notRun.Cause != CauseMoved && notRun.Cause != CauseNoReplica {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.slotsByHome[req.Route.Service]) > 0
}

// combinedError returns the error for all tries together. If an earlier try may have
// run, the outcome is unknown even if the last try was not run.
func combinedError(last error, ran *UnknownError) error {
	if ran != nil {
		return ran
	}
	return last
}

// exclusions lists where earlier tries of a request failed.
type exclusions struct {
	upstream string
	boxes    []control.Incarnation
}

// tryOnce sends a request to the box that the chooser selects, which may be this one.
func (r *Router) tryOnce(ctx context.Context, req *Request, avoid *exclusions) (*Response, error) {
	to, found := r.chooseBox(req.Route.Service, avoid.boxes)
	if !found {
		return nil, &NotRunError{CauseNoReplica, jitteredDelay(time.Second)}
	}
	if to.Incarnation == r.self {
		return r.DoLocal(ctx, req, avoid)
	}
	resp, err := r.forward(ctx, to, req)
	if err != nil {
		avoid.boxes = append(avoid.boxes, to.Incarnation)
	}
	return resp, err
}

// DoLocal sends a request to an upstream whose home is this box. If another box pulls
// the request from the queue, it is forwarded there.
func (r *Router) DoLocal(ctx context.Context, req *Request, avoid *exclusions) (*Response, error) {
	p := r.pool(req.Route.Service)
	assigned, err := p.acquire(ctx, req, avoid.upstream)
	if err != nil {
		return nil, err
	}
	if assigned.upstream == nil && assigned.to.Incarnation == "" {
		return nil, &NotRunError{CauseMoved, jitteredDelay(time.Second)}
	}
	if assigned.upstream == nil {
		return r.forward(ctx, assigned.to, req)
	}
	avoid.upstream = assigned.upstream.Attempt
	return p.sendTo(ctx, assigned.upstream, req, r.maxResponseBytes)
}

// peers returns the peers that are homes of a service's upstreams. Their slot counts are
// computed from the endpoints, because a new home may not have reported its load yet.
func (r *Router) peers(service string) []member.PeerLoad {
	r.mu.Lock()
	slots := r.slotsByHome[service]
	r.mu.Unlock()
	var homes []member.PeerLoad
	for _, p := range r.members.ServiceLoads(service) {
		if p.Load.Slots = slots[p.Row.Incarnation]; p.Load.Slots > 0 {
			homes = append(homes, p)
		}
	}
	return homes
}

// chooseBox selects the box for a request of a service. It reports false if no box
// outside avoid has slots.
func (r *Router) chooseBox(service string, avoid []control.Incarnation) (control.BoxRow, bool) {
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

// ForwardPath is the path at which ServeForward must be registered.
func (r *Router) ForwardPath() string { return forwardPath }

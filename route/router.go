package route

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chutereach/commit"
	"chutereach/config"
	"chutereach/control"
	"chutereach/hall"
	"chutereach/member"
	"chutereach/peer"
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
	hop       hop
	ask       ask
	log       zerolog.Logger
	maxAnswer int64
	Stats     Stats

	mu    sync.Mutex
	pools map[string]*pool // by service
	bank  float64          // retries saved up
}

// Deps are what a Router works with.
type Deps struct {
	Self    control.BoxRow
	Members *member.Members
	Client  *peer.Client
	Claims  *commit.Group
	Log     zerolog.Logger
}

// New returns a Router.
func New(d Deps) *Router {
	return &Router{
		self: d.Self.Incarnation, row: d.Self, members: d.Members, claims: d.Claims, chooser: TwoChoices{}, hop: callPeer(d.Client), ask: askPeer(d.Client),
		log: d.Log, maxAnswer: DefaultMaxAnswer, pools: map[string]*pool{}, bank: retryBank,
	}
}

// Refresh works out anew which upstreams have their home here.
func (r *Router) Refresh() {
	boxes := []control.Incarnation{r.self}
	for _, p := range r.members.Peers() {
		if p.Alive() && !p.State.Leaving {
			boxes = append(boxes, p.Row.Incarnation)
		}
	}
	own := map[string][]hall.Endpoint{}
	for _, e := range r.members.Endpoints() {
		list := own[e.Service] // present even if none is at home here
		if home(e.Attempt, boxes) == r.self {
			list = append(list, e)
		}
		own[e.Service] = list
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, list := range own {
		r.poolOf(service).set(list)
	}
	for service, p := range r.pools {
		if _, listed := own[service]; !listed {
			p.set(nil)
		}
	}
}

// home returns the box that counts an upstream's slots, by rendezvous hashing.
func home(upstream string, boxes []control.Incarnation) control.Incarnation {
	return slices.MaxFunc(boxes, func(a, b control.Incarnation) int {
		return cmp.Or(cmp.Compare(weight(upstream, a), weight(upstream, b)), cmp.Compare(a, b))
	})
}

func weight(upstream string, box control.Incarnation) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(upstream))
	sum.Write([]byte(box))
	// FNV alone leaves names that differ in their last letter close together.
	x := sum.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
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
		if n == tries || !mayRepeat(req, err) || ctx.Err() != nil || !r.spend() {
			return nil, whole(err, ran)
		}
		r.Stats.Retried.Add(1)
	}
}

// whole returns the error that is true of all tries together: that the last one
// was not run says nothing of one before it that may have run.
func whole(last error, ran *UnknownError) error {
	if ran != nil {
		return ran
	}
	return last
}

// mayRepeat reports whether a request that failed with err can be sent again
// and may fare better.
func mayRepeat(req *Request, err error) bool {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return notRun.Cause == CauseRefused || notRun.Cause == CausePeers
	}
	return req.Route.Safety == "repeat" && time.Now().Before(req.Deadline)
}

func (r *Router) earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bank = min(r.bank+retryShare, retryBank)
}

func (r *Router) spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bank < 1 {
		return false
	}
	r.bank--
	return true
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
	if t.up == nil {
		return r.forward(ctx, t.to, req) // another box has pulled it
	}
	avoid.upstream = t.up.Attempt
	return p.run(ctx, t.up, req, r.maxAnswer)
}

// choose returns the box to which a request for a service goes.
func (r *Router) choose(service string, avoid []control.Incarnation) (control.BoxRow, bool) {
	own := r.pool(service).load()
	peers := slices.DeleteFunc(r.members.LoadsOf(service), func(p member.PeerLoad) bool {
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

// reply is what a box answers to a forwarded request.
type reply struct {
	Outcome    Outcome       `cbor:"1,keyasint"`
	Answer     *Answer       `cbor:"2,keyasint,omitempty"`
	Cause      Cause         `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Load       member.Load   `cbor:"5,keyasint"`
}

// hop carries a request to another box and its reply back.
type hop func(ctx context.Context, to control.BoxRow, req *Request) (reply, error)

func callPeer(c *peer.Client) hop {
	return func(ctx context.Context, to control.BoxRow, req *Request) (reply, error) {
		return peer.Call[reply](ctx, c, to.Peer, forwardPath, req)
	}
}

// forward hands a request to another box, which does not hand it on.
func (r *Router) forward(ctx context.Context, to control.BoxRow, req *Request) (*Answer, error) {
	r.Stats.Forwarded.Add(1)
	r.members.AddQueued(to.Incarnation, req.Route.Service, req.Route.Class == config.Urgent)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	got, err := r.hop(ctx, to, req)
	var unreachable *peer.UnreachableError
	switch {
	case errors.As(err, &unreachable):
		return nil, &NotRunError{CausePeers, spread(time.Second)}
	case err != nil:
		return nil, &UnknownError{CausePeerLost}
	}
	r.members.SetLoad(to.Incarnation, req.Route.Service, got.Load)
	switch got.Outcome {
	case Answered:
		return got.Answer, nil
	case NotRun:
		return nil, &NotRunError{got.Cause, got.RetryAfter}
	}
	return nil, &UnknownError{got.Cause}
}

// Forwarded serves a request that another box handed on.
func (r *Router) Forwarded(ctx context.Context, req *Request) (reply, error) {
	a, err := r.Here(ctx, req, &avoided{})
	r.count(err)
	got := reply{Outcome: Answered, Answer: a, Load: r.pool(req.Route.Service).load()}
	var (
		notRun  *NotRunError
		unknown *UnknownError
	)
	switch {
	case errors.As(err, &notRun):
		got.Outcome, got.Cause, got.RetryAfter = NotRun, notRun.Cause, notRun.RetryAfter
	case errors.As(err, &unknown):
		got.Outcome, got.Cause = Unknown, unknown.Cause
	}
	return got, nil
}

// ForwardPath is where Forwarded must be served.
func (r *Router) ForwardPath() string { return forwardPath }

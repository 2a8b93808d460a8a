package route

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rs/xid"

	"chutereach/codec"
	"chutereach/control"
	"chutereach/peer"
)

const (
	ticketPath = "/peer/ticket"
	// TicketLifetime is how long a ticket may be used.
	TicketLifetime = 10 * time.Minute
	// maxRedemptions is the maximum number of redeemed tickets that a box remembers, which bounds its
	// memory. When it is reached and none has expired, further requests with tickets are rejected.
	maxRedemptions = 100_000
)

// ticket is the signed permit to run one request at most once without the table. It
// names the incarnation of the box that minted it. Only that box sends the request to an
// upstream, and it remembers the redemption in memory; other boxes forward the request
// to it. If that incarnation has ended, the outcome is unknown.
type ticket struct {
	Box     control.Incarnation `cbor:"1,keyasint"`
	ID      string              `cbor:"2,keyasint"`
	Account string              `cbor:"3,keyasint"`
	Route   string              `cbor:"4,keyasint"`
	Expires time.Time           `cbor:"5,keyasint"`
}

// TicketError reports that a ticket is not valid for a request.
type TicketError struct{ Reason string }

func (e *TicketError) Error() string { return "invalid ticket: " + e.Reason }

// ticketStore holds the signing key of a box and the redemptions of its tickets.
type ticketStore struct {
	key         [sha256.Size]byte
	mu          sync.Mutex
	redemptions map[string]*redemption // by ticket id
}

// redemption records a ticket whose request was dispatched.
type redemption struct {
	digest   [sha256.Size]byte
	expires  time.Time
	done     chan struct{} // closed when response or err is set
	response *Response
	err      error
}

func newTicketStore() *ticketStore {
	t := &ticketStore{redemptions: map[string]*redemption{}}
	rand.Read(t.key[:])
	return t
}

func (t *ticketStore) sign(body string) string {
	mac := hmac.New(sha256.New, t.key[:])
	mac.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// MintTicket returns a new ticket for one request of an account on a route.
func (r *Router) MintTicket(account, route string) (text string, expires time.Time) {
	t := ticket{r.self, xid.New().String(), account, route, time.Now().Add(TicketLifetime).UTC()}
	body := base64.RawURLEncoding.EncodeToString(codec.MustMarshal(t))
	return body + "." + r.tickets.sign(body), t.Expires
}

// parseTicket decodes a ticket without checking its signature, which only the box that
// minted it can do.
func parseTicket(text string) (t ticket, body, signature string, err error) {
	body, signature, _ = strings.Cut(text, ".")
	data, err := base64.RawURLEncoding.DecodeString(body)
	if err == nil {
		err = codec.Unmarshal(data, &t)
	}
	if err != nil {
		return t, body, signature, &TicketError{"malformed"}
	}
	return t, body, signature, nil
}

// DoTicket is Do for a request with a ticket. The request runs at most once over all
// boxes, without use of the table.
func (r *Router) DoTicket(ctx context.Context, req *Request) (*Response, error) {
	t, _, _, err := parseTicket(req.Ticket)
	if err != nil {
		return nil, err
	}
	if t.Box == r.self {
		return r.redeemOwnTicket(ctx, req)
	}
	for _, p := range r.members.Peers() {
		if p.Row.Incarnation == t.Box {
			return r.forwardToMinter(ctx, p.Row, req)
		}
	}
	return nil, &UnknownError{CauseMinterGone}
}

// forwardToMinter sends a request to the box that minted its ticket. If that box cannot
// be reached, the outcome is unknown rather than not run, because an earlier try may
// have reached it.
func (r *Router) forwardToMinter(ctx context.Context, to control.BoxRow, req *Request) (*Response, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	got, err := r.sendToPeer(ctx, to, ticketPath, req)
	if err != nil {
		return nil, &UnknownError{CauseMinterGone}
	}
	return got.result()
}

// ServeTicket handles a request from another box whose ticket this box minted.
func (r *Router) ServeTicket(ctx context.Context, req *Request) (reply, error) {
	resp, err := r.redeemOwnTicket(ctx, req)
	var invalid *TicketError
	if errors.As(err, &invalid) || errors.As(err, new(*KeyReusedError)) {
		return reply{Outcome: Refused, Refusal: err.Error()}, nil
	}
	return newReply(resp, err), nil
}

// TicketPath is the path at which ServeTicket must be registered.
func (r *Router) TicketPath() string { return ticketPath }

// redeemOwnTicket runs the request of a ticket that this box minted, or returns the
// outcome of the ticket's earlier redemption.
func (r *Router) redeemOwnTicket(ctx context.Context, req *Request) (*Response, error) {
	t, body, signature, err := parseTicket(req.Ticket)
	if err != nil {
		return nil, err
	}
	switch {
	case !hmac.Equal([]byte(signature), []byte(r.tickets.sign(body))):
		return nil, &TicketError{"wrong signature"}
	case t.Account != req.Account || t.Route != req.Route.Name:
		return nil, &TicketError{"minted for another account or route"}
	case time.Now().After(t.Expires):
		return nil, &UnknownError{CauseTicketExpired}
	}
	entry, first, err := r.tickets.redeem(t, requestDigest(req))
	if err != nil {
		return nil, err
	}
	if !first {
		r.Stats.Replayed.Add(1)
		return entry.wait(ctx, req.Deadline)
	}
	entry.response, entry.err = r.Do(ctx, req)
	r.tickets.complete(t.ID, entry)
	return entry.response, entry.err
}

// redeem marks a ticket as redeemed, or returns its earlier redemption.
func (t *ticketStore) redeem(tk ticket, digest [sha256.Size]byte) (entry *redemption, first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if earlier := t.redemptions[tk.ID]; earlier != nil {
		if earlier.digest != digest {
			return nil, false, &KeyReusedError{tk.ID}
		}
		return earlier, false, nil
	}
	if len(t.redemptions) >= maxRedemptions {
		t.dropExpired(time.Now())
	}
	if len(t.redemptions) >= maxRedemptions {
		return nil, false, &NotRunError{CauseQueueFull, jitteredDelay(time.Second)}
	}
	entry = &redemption{digest: digest, expires: tk.Expires, done: make(chan struct{})}
	t.redemptions[tk.ID] = entry
	return entry, true, nil
}

// dropExpired removes the redemptions of expired tickets. A later request with such a
// ticket gets the outcome "unknown". The caller holds t.mu.
func (t *ticketStore) dropExpired(now time.Time) {
	for id, entry := range t.redemptions {
		if now.After(entry.expires) {
			delete(t.redemptions, id)
		}
	}
}

// complete publishes the outcome of a redemption. A ticket whose request was not run may
// be redeemed again.
func (t *ticketStore) complete(id string, entry *redemption) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if errors.As(entry.err, new(*NotRunError)) {
		delete(t.redemptions, id)
	}
	close(entry.done)
}

// wait waits for the outcome of an earlier redemption until the deadline.
func (e *redemption) wait(ctx context.Context, deadline time.Time) (*Response, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-e.done:
		return e.response, e.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, &UnknownError{CauseInProgress}
}

func newSendToPeerFunc(c *peer.Client) sendToPeerFunc {
	return func(ctx context.Context, to control.BoxRow, path string, req *Request) (reply, error) {
		return peer.Call[reply](ctx, c, to.Peer, path, req)
	}
}

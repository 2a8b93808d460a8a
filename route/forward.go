package route

import (
	"context"
	"errors"
	"time"

	"chutereach/config"
	"chutereach/control"
	"chutereach/member"
	"chutereach/peer"
)

// reply is a box's response to a forwarded request.
type reply struct {
	Outcome    Outcome       `cbor:"1,keyasint"`
	Response   *Response     `cbor:"2,keyasint,omitempty"`
	Cause      Cause         `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Load       member.Load   `cbor:"5,keyasint"`
	Refusal    string        `cbor:"6,keyasint,omitempty"`
}

// sendToPeerFunc sends a request to a path of another box and returns the reply.
type sendToPeerFunc func(ctx context.Context, to control.BoxRow, path string, req *Request) (reply, error)

// forward sends a request to another box, which serves it from its own upstreams unless
// a third box pulls it from the queue.
func (r *Router) forward(ctx context.Context, to control.BoxRow, req *Request) (*Response, error) {
	r.Stats.Forwarded.Add(1)
	r.members.AddQueued(to.Incarnation, req.Route.Service, req.Route.Class == config.Urgent)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	got, err := r.sendToPeer(ctx, to, forwardPath, req)
	var unreachable *peer.UnreachableError
	switch {
	case errors.As(err, &unreachable):
		return nil, &NotRunError{CausePeerUnreachable, jitteredDelay(time.Second)}
	case err != nil:
		return nil, &UnknownError{CausePeerLost}
	}
	r.members.SetLoad(to.Incarnation, req.Route.Service, got.Load)
	return got.result()
}

// result returns the response or the error that a reply carries.
func (p reply) result() (*Response, error) {
	switch p.Outcome {
	case Answered:
		return p.Response, nil
	case NotRun:
		return nil, &NotRunError{p.Cause, p.RetryAfter}
	case Refused:
		return nil, &TicketError{p.Refusal}
	}
	return nil, &UnknownError{p.Cause}
}

// newReply returns the reply that carries a response or an error.
func newReply(resp *Response, err error) reply {
	var (
		notRun  *NotRunError
		unknown *UnknownError
	)
	switch {
	case errors.As(err, &notRun):
		return reply{Outcome: NotRun, Cause: notRun.Cause, RetryAfter: notRun.RetryAfter}
	case errors.As(err, &unknown):
		return reply{Outcome: Unknown, Cause: unknown.Cause}
	}
	return reply{Outcome: Answered, Response: resp}
}

// ServeForward handles a request that another box forwarded.
func (r *Router) ServeForward(ctx context.Context, req *Request) (reply, error) {
	resp, err := r.DoLocal(ctx, req, &exclusions{})
	r.countOutcome(err)
	got := newReply(resp, err)
	got.Load = r.pool(req.Route.Service).load()
	return got, nil
}

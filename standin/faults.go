package standin

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"chutereach/provider"
	"chutereach/wait"
)

// Op names an operation in faults, as in "commit" or "start".
type Op string

// Fault is what befalls one request.
type Fault struct {
	Delay      time.Duration // before the request is carried out
	AnswerLate time.Duration // after it is carried out
	Refuse     error         // it is not carried out
	Lose       bool          // it is carried out and its answer is lost
	Vanish     bool          // it is not carried out and its caller is not told
}

// Faults decides what befalls each request. The zero Faults lets all pass.
type Faults struct {
	mu     sync.Mutex
	choose func(op Op, target string) Fault
	limit  *rate.Limiter
}

// Set makes choose decide from now on; nil lets all pass.
func (f *Faults) Set(choose func(op Op, target string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.choose = choose
}

// Always makes the same fault befall every request.
func (f *Faults) Always(fault Fault) { f.Set(func(Op, string) Fault { return fault }) }

// Clear lets all pass.
func (f *Faults) Clear() { f.Set(nil) }

// Limit refuses what comes faster than perSecond, after a burst.
func (f *Faults) Limit(perSecond float64, burst int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = rate.NewLimiter(rate.Limit(perSecond), burst)
}

func (f *Faults) next(op Op, target string) (Fault, *rate.Limiter) {
	f.mu.Lock()
	choose, limit := f.choose, f.limit
	f.mu.Unlock()
	if choose == nil {
		return Fault{}, limit
	}
	return choose(op, target), limit
}

// errLost is the cause that an UnknownError of a stand-in gives.
var errLost = errors.New("the connection was lost")

const limitedPause = 50 * time.Millisecond

// Through carries out do as the faults decide.
func Through[T any](ctx context.Context, f *Faults, s provider.Service, op Op, target string, do func() (T, error)) (T, error) {
	var none T
	fault, limit := f.next(op, target)
	if limit != nil && !limit.Allow() {
		return none, &provider.RateLimitedError{Service: s, RetryAfter: limitedPause}
	}
	if fault.Refuse != nil {
		return none, fault.Refuse
	}
	due := time.Now().Add(fault.Delay)
	if wait.For(ctx, fault.Delay) != nil {
		if !fault.Vanish {
			// The caller has gone; the request takes effect all the same, late.
			time.AfterFunc(time.Until(due), func() { do() })
		}
		return none, &provider.UnknownError{Service: s, Cause: ctx.Err()}
	}
	if fault.Vanish {
		return none, &provider.UnknownError{Service: s, Cause: errLost}
	}
	v, err := do()
	if wait.For(ctx, fault.AnswerLate) != nil {
		return none, &provider.UnknownError{Service: s, Cause: ctx.Err()}
	}
	if fault.Lose {
		return none, &provider.UnknownError{Service: s, Cause: errLost}
	}
	return v, err
}

// Down is the refusal of a service that is down.
func Down(s provider.Service) error {
	return &provider.UnavailableError{Service: s, Reason: "it is down"}
}

package route

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"chutereach/codec"
	"chutereach/commit"
	"chutereach/control"
	"chutereach/provider"
)

// claim is the stored row that reserves the key of a request that may run only once.
type claim struct {
	Digest    [sha256.Size]byte   `cbor:"1,keyasint"`
	ClaimedBy control.Incarnation `cbor:"2,keyasint"`
	State     claimState          `cbor:"3,keyasint"`
	Response  *Response           `cbor:"4,keyasint,omitempty"`
	ClaimedAt time.Time           `cbor:"5,keyasint"`
}

type claimState string

const (
	claimOpen    claimState = "open"
	claimDone    claimState = "done"
	claimUnknown claimState = "unknown"
)

const (
	// claimTimeout bounds the time of a request that is spent on its claim.
	claimTimeout = 3 * time.Second
	// recordOutcomeTimeout bounds the attempts to store an outcome.
	recordOutcomeTimeout = 10 * time.Minute
)

func (c claim) encode() []byte { return codec.MustMarshal(c) }

func claimKey(r *Request) string { return "claim/" + r.Account + "/" + r.Route.Name + "/" + r.Key }

// requestDigest distinguishes different requests with the same key.
func requestDigest(r *Request) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(r.Method + " " + r.Path + "\n"))
	h.Write(r.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// DoOnce is Do for a request that may run only once over all boxes, however late it is
// repeated. Its key is claimed in the table before the request is sent; if the table is
// unavailable, the request is not run. A request whose key was claimed before gets the
// recorded response.
func (r *Router) DoOnce(ctx context.Context, req *Request) (*Response, error) {
	key, own := claimKey(req), claim{Digest: requestDigest(req), ClaimedBy: r.self, State: claimOpen, ClaimedAt: time.Now().UTC()}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	version, err := r.claims.Do(claimCtx, commit.Part{}.Insert(key, own.encode()))
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		return r.replay(req, own, conflict.Have)
	}
	if err != nil {
		// The claim may have been stored. A later request with the key then gets
		// "unknown", although the request was not run.
		r.Stats.NotRun.Add(1)
		return nil, &NotRunError{CauseTableUnavailable, jitteredDelay(time.Second)}
	}
	resp, err := r.Do(ctx, req)
	r.recordOutcome(ctx, key, version, own, resp, err)
	return resp, err
}

// replay returns the recorded outcome of a request whose key was claimed before.
func (r *Router) replay(req *Request, own claim, row provider.Row) (*Response, error) {
	var earlier claim
	if err := codec.Unmarshal(row.Value, &earlier); err != nil {
		return nil, &UnknownError{CauseEarlierUnknown}
	}
	switch {
	case earlier.Digest != own.Digest:
		return nil, &KeyReusedError{req.Key}
	case earlier.State == claimDone:
		r.Stats.Replayed.Add(1)
		return earlier.Response, nil
	case earlier.State == claimOpen && time.Since(earlier.ClaimedAt) < req.Route.Deadline+responseGracePeriod:
		return nil, &UnknownError{CauseInProgress}
	}
	return nil, &UnknownError{CauseEarlierUnknown}
}

// recordOutcome stores the outcome of a claimed request. If the request was not run, the
// claim is removed before the caller is told, so that the caller can retry at once. A
// response is returned without waiting for the write.
func (r *Router) recordOutcome(ctx context.Context, key string, version uint64, c claim, resp *Response, err error) {
	var notRun *NotRunError
	part := commit.Part{}
	switch {
	case errors.As(err, &notRun):
		part = part.Remove(key, version)
	case err != nil:
		c.State = claimUnknown
		part = part.Put(key, version, c.encode())
	default:
		c.State, c.Response = claimDone, resp
		part = part.Put(key, version, c.encode())
	}
	write := func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordOutcomeTimeout)
		defer cancel()
		if _, err := r.claims.Do(ctx, part); err != nil {
			r.log.Error().Err(err).Str("key", key).Msg("failed to record outcome of claimed request")
		}
	}
	if notRun == nil {
		go write()
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		write()
	}()
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

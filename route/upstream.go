package route

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"chutereach/hall"
)

const (
	dialTimeout = time.Second
	idleTimeout = time.Minute
	// responseGracePeriod is how long a request keeps its slot after its deadline if the
	// upstream has not responded, because the upstream may still be processing it.
	responseGracePeriod = 30 * time.Second
	// An upstream that fails gets no requests for minEjection at first. The time doubles
	// with each failure in a row, up to maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = 15 * time.Second
)

// upstream is one replica whose home is this box. Its mutable fields are guarded by the
// lock of its pool.
type upstream struct {
	hall.Endpoint
	client *http.Client
	send   sendFunc

	busy                int
	reserved            int       // slots that the former home still uses
	limit               float64   // requests in progress allowed now, at most Slots
	movedUntil          time.Time // gets no requests until then, because another box reported itself as the home
	retiring            bool
	ejectedUntil        time.Time // gets no requests until then unless all upstreams are ejected
	consecutiveFailures int
}

func newUpstream(e hall.Endpoint) *upstream {
	dialer := net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
	u := &upstream{Endpoint: e, limit: float64(e.Slots), client: &http.Client{
		Transport: &http.Transport{
			DialContext: dial, MaxConnsPerHost: e.MaxConns, MaxIdleConnsPerHost: e.Slots,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	u.send = u.sendHTTP
	return u
}

// sendFunc sends one request to an upstream and reads its complete response.
type sendFunc func(ctx context.Context, r *Request, maxResponseBytes int64) (*Response, error)

// hasFreeSlot reports whether u can take one more request.
func (u *upstream) hasFreeSlot(now time.Time) bool {
	used := u.busy + u.reserved
	return !u.retiring && now.After(u.movedUntil) && used < u.Slots && float64(used) < u.limit
}

const (
	// An upstream counts as slow if a request takes more than slowThreshold times the
	// average service time.
	slowThreshold = 4
	// limitDecrease is the factor applied to the limit of a slow upstream.
	limitDecrease = 0.7
)

// adjustLimit lowers the limit of an upstream that is slow compared with the others. It
// raises the limit by one for about every limit successful responses, up to the number
// of slots.
func (u *upstream) adjustLimit(took, average time.Duration) {
	if average > 0 && took > slowThreshold*average {
		u.limit = max(1, u.limit*limitDecrease)
		return
	}
	u.limit = min(float64(u.Slots), u.limit+1/u.limit)
}

// eject excludes an upstream after a failed request, for longer with each failure in a
// row.
func (u *upstream) eject(now time.Time) {
	u.ejectedUntil = now.Add(min(minEjection<<min(u.consecutiveFailures, 10), maxEjection))
	u.consecutiveFailures++
}

// countingConn counts the bytes written, so that a failed request can be classified as
// sent or not sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p))) // counted first, because a failed write may have sent some bytes
	return c.Conn.Write(p)
}

// writeTracker records whether any byte of one request was written.
type writeTracker struct {
	conn  atomic.Pointer[countingConn]
	start atomic.Int64
}

func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	w.start.Store(c.written.Load())
	w.conn.Store(c)
}

// nothingWritten reports whether no byte of the request was written.
func (w *writeTracker) nothingWritten() bool {
	c := w.conn.Load()
	return c == nil || c.written.Load() == w.start.Load()
}

// nonReplayableBody is a request body that net/http cannot read again, which keeps it
// from resending the request itself.
type nonReplayableBody struct{ io.Reader }

func (nonReplayableBody) Close() error { return nil }

// droppedHeaders lists headers that are not passed on: those that concern one connection
// only, credentials, and the idempotency keys, which net/http takes as permission to
// resend a request.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "Content-Length", "Accept-Encoding",
}

// sendHTTP is the sendFunc of an upstream that is reached by HTTP.
func (u *upstream) sendHTTP(ctx context.Context, r *Request, maxResponseBytes int64) (*Response, error) {
	var w writeTracker
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
	url := "http://" + u.Address + r.Route.Path + r.Path
	req, err := http.NewRequestWithContext(ctx, r.Method, url, nonReplayableBody{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, &NotRunError{Cause: CauseUpstreamUnreachable}
	}
	req.ContentLength = int64(len(r.Body))
	copyHeaders(req.Header, r.Header)
	req.Header.Set("Request-Id", r.ID)
	resp, err := u.client.Do(req)
	if err != nil {
		return nil, classifyError(ctx, &w, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, &UnknownError{CauseResponseTruncated}
	case int64(len(body)) > maxResponseBytes:
		return nil, &UnknownError{CauseResponseTooLarge}
	}
	result := &Response{Status: resp.StatusCode, Header: http.Header{}, Body: body}
	copyHeaders(result.Header, resp.Header)
	return result, nil
}

func classifyError(ctx context.Context, w *writeTracker, err error) error {
	switch {
	case w.nothingWritten():
		return &NotRunError{Cause: CauseUpstreamUnreachable}
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return &UnknownError{CauseDeadline}
	}
	return &UnknownError{CauseConnectionBroken}
}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(droppedHeaders, name) {
			to[name] = values
		}
	}
}

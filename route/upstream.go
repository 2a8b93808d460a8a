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
	// overtime is for how long a request keeps its slot after its deadline, if
	// its upstream is still silent: the upstream may be at it still.
	overtime = 30 * time.Second
	// firstEjection and lastEjection bound how long an upstream that could not
	// be reached is left alone.
	firstEjection = 250 * time.Millisecond
	lastEjection  = 15 * time.Second
)

// upstream is one replica whose home is this box. Its counts are guarded by its
// pool's lock.
type upstream struct {
	hall.Endpoint
	client *http.Client
	send   sender

	busy     int
	reserved int       // slots that its former home still uses
	limit    float64   // of slots, as far as it bears them
	moved    time.Time // until when another box is its home, whatever this one thinks
	leaving  bool
	ejected  time.Time // until when it gets nothing
	strikes  int
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

// sender brings one request to an upstream and its whole answer back.
type sender func(ctx context.Context, r *Request, maxAnswer int64) (*Answer, error)

// free reports whether u has a slot for one more request.
func (u *upstream) free(now time.Time) bool {
	taken := u.busy + u.reserved
	return !u.leaving && now.After(u.moved) && taken < u.Slots && float64(taken) < u.limit
}

const (
	// slowBy is how many times the service's usual time a request may take before
	// its upstream counts as slowed down.
	slowBy = 4
	// shrink is by what an upstream's limit is multiplied then.
	shrink = 0.7
)

// adapt lowers the limit of an upstream that has slowed down against the others,
// and raises it again, by one for each limit's worth of good answers. The slots
// are the ceiling.
func (u *upstream) adapt(took, usual time.Duration) {
	if usual > 0 && took > slowBy*usual {
		u.limit = max(1, u.limit*shrink)
		return
	}
	u.limit = min(float64(u.Slots), u.limit+1/u.limit)
}

// strike ejects an upstream that could not be reached, for longer each time.
func (u *upstream) strike(now time.Time) {
	u.ejected = now.Add(min(firstEjection<<min(u.strikes, 10), lastEjection))
	u.strikes++
}

// countingConn counts what is written to it, so that a request can be told to
// have left or not.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p))) // before: an error may come after some bytes
	return c.Conn.Write(p)
}

// watch tells whether any byte of one request was written.
type watch struct {
	conn  atomic.Pointer[countingConn]
	start atomic.Int64
}

func (w *watch) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	w.start.Store(c.written.Load())
	w.conn.Store(c)
}

// untouched reports whether no byte of the request was written.
func (w *watch) untouched() bool {
	c := w.conn.Load()
	return c == nil || c.written.Load() == w.start.Load()
}

// onceBody is a request's body that net/http cannot read again, so that it
// never sends a request twice of its own accord.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// hopByHop lists headers that concern one connection only, and the key, which
// net/http takes as leave to send a request twice.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Idempotency-Key", "X-Idempotency-Key", "Content-Length", "Accept-Encoding",
}

// sendHTTP writes a request to u and reads the whole answer.
func (u *upstream) sendHTTP(ctx context.Context, r *Request, maxAnswer int64) (*Answer, error) {
	var w watch
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
	url := "http://" + u.Address + r.Route.Path + r.Path
	req, err := http.NewRequestWithContext(ctx, r.Method, url, onceBody{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, &NotRunError{Cause: CauseRefused}
	}
	req.ContentLength = int64(len(r.Body))
	copyHeader(req.Header, r.Header)
	req.Header.Set("Request-Id", r.ID)
	resp, err := u.client.Do(req)
	if err != nil {
		return nil, sendError(ctx, &w, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	switch {
	case err != nil:
		return nil, &UnknownError{CauseHalf}
	case int64(len(body)) > maxAnswer:
		return nil, &UnknownError{CauseTooLarge}
	}
	a := &Answer{Status: resp.StatusCode, Header: http.Header{}, Body: body}
	copyHeader(a.Header, resp.Header)
	return a, nil
}

func sendError(ctx context.Context, w *watch, err error) error {
	switch {
	case w.untouched():
		return &NotRunError{Cause: CauseRefused}
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return &UnknownError{CauseDeadline}
	}
	return &UnknownError{CauseBroken}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
}

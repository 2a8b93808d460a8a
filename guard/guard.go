// Package guard keeps the clients of an HTTP interface within a share of the process's memory and descriptors,
// whatever they send and however slowly.
//
// Each connection has a place, and each byte of a request that has been read is charged until the request has been
// answered. Where places or memory run out, connections whose progress depends on their client make room, the ones
// that have kept the process waiting longest first. A client that sends its request without delay and reads the
// answer is thus the last to be cut off. Whoever is cut off gets no answer: one would say whether the request
// was carried out, which may be unknown.
package guard

import (
	"container/list"
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// headerWeight is how many bytes of memory a byte of a header takes at most: the shortest header is four
	// bytes long and takes an entry of a map.
	headerWeight = 32
	// bodyWeight is how many bytes of memory a byte of a body takes: as it was read, decoded, and encoded
	// for the upstream or another box.
	bodyWeight = 4
	// patience is how long a client may take for a request, or for reading an answer, before its connection is
	// among the first to make room.
	patience = time.Second
	// stallTime is how long a client that holds memory may send nothing while others wait for it.
	stallTime = 100 * time.Millisecond
)

// Guard limits the connections of one interface.
type Guard struct {
	limits func() Limits
	log    zerolog.Logger

	mu   sync.Mutex
	open int
	// waiting are the connections that wait for their clients: to send the rest of a request, or to read an
	// answer. idle are those between two requests. Both begin with the one that has waited longest. A
	// connection whose request is being served is in neither.
	waiting, idle *list.List
	// blocked are the connections whose requests wait for memory and are large, in the order of their turns.
	blocked   *list.List
	used      int64 // charged bytes
	releasing int64 // those of used that belong to connections that have been closed
	served    int64 // those of used that belong to requests that are being served
	changed   chan struct{}
	counts    Usage // without Open and Used
}

// Usage is what clients take, and how many connections were closed for which reason.
type Usage struct {
	Open     int   `json:"connections"`
	PeakOpen int   `json:"peak_connections"`
	Used     int64 `json:"memory_charged"` // bytes
	PeakUsed int64 `json:"peak_memory_charged"`
	Refused  int64 `json:"refused"`            // no connection could make room
	Places   int64 `json:"closed_for_place"`   // to make room for other connections
	Memory   int64 `json:"closed_for_memory"`  // to make room for other requests
	Timeouts int64 `json:"closed_for_timeout"` // the client was too slow
	Headers  int64 `json:"closed_for_header"`  // the header was too large
}

// New returns a Guard with limits that may change at any time.
func New(limits func() Limits, log zerolog.Logger) *Guard {
	return &Guard{
		limits: limits, waiting: list.New(), idle: list.New(), blocked: list.New(), changed: make(chan struct{}),
		log: log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: time.Second}),
	}
}

// logBurst is the maximum number of log lines per second.
const logBurst = 5

// Usage returns what the clients take now.
func (g *Guard) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	usage := g.counts
	usage.Open, usage.Used = g.open, g.used
	return usage
}

// Var returns the usage as a metric.
func (g *Guard) Var() expvar.Var { return expvar.Func(func() any { return g.Usage() }) }

// Server returns a server for handler. It must serve a listener that Listen has returned.
func (g *Guard) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: g.handler(handler),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			guarded, ok := c.(*conn)
			if !ok {
				return
			}
			switch state {
			case http.StateIdle:
				guarded.becomeIdle()
			case http.StateClosed, http.StateHijacked:
				guarded.end()
			}
		},
	}
}

type connKey struct{}

// handler tells the connection of a request when its header and its body are complete. If next does not read the
// body to its end, the connection is closed after the answer: reading the rest would depend on the client.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		switch {
		case !ok: // the listener is not guarded
		case r.ContentLength == 0:
			if c.beServed() != nil {
				panic(http.ErrAbortHandler)
			}
		default:
			if c.awaitBody() != nil {
				panic(http.ErrAbortHandler)
			}
			defer c.discardBody()
			w.Header().Set("Connection", "close")
			withBody := *r
			withBody.Body = &body{ReadCloser: r.Body, length: r.ContentLength, conn: c, header: w.Header()}
			r = &withBody
		}
		next.ServeHTTP(w, r)
	})
}

// Listen returns a listener that limits the connections accepted from inner. At the limit it closes a stalled or
// idle connection in favour of a new one, or refuses the new one if all others are being served.
func (g *Guard) Listen(inner net.Listener) net.Listener {
	setBuffers(inner, g.limits())
	return &listener{inner, g}
}

type listener struct {
	net.Listener
	guard *Guard
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
		raw.Close()
	}
}

// admit gives a connection a place. It returns nil if there is none.
func (g *Guard) admit(raw net.Conn) *conn {
	limits := g.limits()
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.open >= limits.Connections {
		victim := g.placeVictim(time.Now())
		if victim == nil {
			g.counts.Refused++
			g.log.Warn().Int("connections", g.open).Msg("connection refused: all others are being served")
			return nil
		}
		g.close(victim, &g.counts.Places, "to make room for other connections")
	}
	c := &conn{Conn: raw, guard: g}
	g.open++
	g.counts.PeakOpen = max(g.counts.PeakOpen, g.open)
	c.timer = time.AfterFunc(limits.HeaderTimeout, c.expire)
	c.enter(receivingHeader, limits.HeaderTimeout)
	return c
}

// placeVictim returns the connection that makes room for another one, or nil.
func (g *Guard) placeVictim(now time.Time) *conn {
	longest := front(g.waiting)
	if longest != nil && now.Sub(longest.since) >= patience {
		return longest
	}
	if idle := front(g.idle); idle != nil {
		return idle
	}
	return longest
}

func front(l *list.List) *conn {
	if e := l.Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

// close closes a connection and counts it. Its memory is released once its request's handler has returned.
func (g *Guard) close(c *conn, count *int64, reason string) {
	*count++
	g.log.Info().Str("client", c.RemoteAddr().String()).Str("reason", reason).Stringer("phase", c.phase).
		Dur("for", time.Since(c.since)).Int64("charged", c.charged).Msg("connection closed")
	c.closeLocked()
	g.announce()
}

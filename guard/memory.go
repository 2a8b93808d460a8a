package guard

import (
	"net"
	"time"
)

// smallRequest is the memory up to which a request is small. Large ones may take three quarters of the memory, so
// that a crowd of them does not keep out the small ones.
const smallRequest = 64 << 10

// charge waits until there is memory for more of a connection's request and charges it. Large requests get it one
// after the other. It fails if the connection is closed while it waits. The caller holds the lock, which is
// released during the wait.
func (g *Guard) charge(c *conn, limits Limits, bytes int64) error {
	limit := limits.memory()
	large := c.charged+bytes > smallRequest
	if large {
		limit -= limit / 4
	}
	if !g.fits(limit, bytes) || large && g.blocked.Len() > 0 {
		g.await(c, limit, bytes, large)
	}
	if c.closed {
		return net.ErrClosed
	}
	c.charged += bytes
	g.used += bytes
	g.counts.PeakUsed = max(g.counts.PeakUsed, g.used)
	return nil
}

func (g *Guard) fits(limit, bytes int64) bool { return g.used+bytes <= limit }

// await waits until there is memory for a connection's request, and its turn has come if it is large, or until
// the connection is closed.
func (g *Guard) await(c *conn, limit, bytes int64, large bool) {
	var turn time.Time // when the request became the first to get memory
	c.waitsForMemory = true
	if large {
		place := g.blocked.PushBack(c)
		defer func() {
			g.blocked.Remove(place)
			g.announce() // the next one's turn has come
		}()
	}
	for !c.closed {
		first := !large || front(g.blocked) == c
		if first && g.fits(limit, bytes) {
			break
		}
		now := time.Now()
		if first && turn.IsZero() {
			turn = now
		}
		if first && !g.fits(limit, bytes-g.releasing) {
			if victim := g.memoryVictim(c, now, now.Sub(turn)); victim != nil {
				g.close(victim, &g.counts.Memory, "to make room for other requests")
				continue
			}
		}
		changed := g.changed
		g.mu.Unlock()
		timer := time.NewTimer(stallTime)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		g.mu.Lock()
	}
	c.waitsForMemory = false
	if !c.closed { // the wait was not the client's fault
		c.since, c.lastArrival = time.Now(), time.Now()
		c.moveTo(g.waiting)
	}
}

// memoryVictim returns the connection that gives its memory to another one whose turn has been for some time, or nil
// if enough will be released without that.
func (g *Guard) memoryVictim(first *conn, now time.Time, waited time.Duration) *conn {
	progressing := g.served > 0
	for e := g.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		switch {
		case c.charged == 0 || c.waitsForMemory:
		case c.stalled(now):
			return c
		default:
			progressing = true
		}
	}
	if progressing && waited < patience {
		return nil
	}
	// The requests in hand wait for each other's memory: bodies without an announced length get it bit by bit. The
	// largest one gives up, of equal ones the last.
	var largest *conn
	for e := g.blocked.Back(); e != nil; e = e.Prev() {
		if c := e.Value.(*conn); c != first && !c.closed && (largest == nil || c.charged > largest.charged) {
			largest = c
		}
	}
	return largest
}

// announce wakes all requests that wait for memory.
func (g *Guard) announce() {
	close(g.changed)
	g.changed = make(chan struct{})
}

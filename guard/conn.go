package guard

import (
	"container/list"
	"errors"
	"io"
	"net"
	"time"
)

// phase is what a connection waits for.
type phase int

const (
	receivingHeader phase = iota
	receivingBody
	discarding // the request was answered before its body was complete
	serving
	writing // the client has to read the answer
	idle
)

func (p phase) String() string {
	return [...]string{"receiving header", "receiving body", "discarding", "serving", "writing", "idle"}[p]
}

// conn is a connection of a client. The guard's lock protects its fields.
type conn struct {
	net.Conn
	guard *Guard
	timer *time.Timer // closes the connection at deadline

	phase       phase
	since       time.Time // start of the request, of the write or of the idle time
	deadline    time.Time // zero: none
	lastArrival time.Time // of bytes of the client
	// waitsForMemory says that the client has sent bytes for which there is no memory yet.
	waitsForMemory bool
	announced      bool // the memory of the whole body is charged
	closed         bool
	headerBytes    int
	charged        int64 // memory of its request

	queue *list.List // the one of the guard's lists that it is in
	place *list.Element
}

// maxRead bounds what is read before it is charged.
const maxRead = 16 << 10

// Read implements net.Conn. It returns bytes of a request once there is memory for it.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data[:min(len(data), maxRead)])
	if n > 0 {
		if err := c.receive(n); err != nil {
			return 0, err
		}
	}
	return n, err
}

// HeaderTooLargeError is returned when the header of a request is longer than Limit bytes.
type HeaderTooLargeError struct{ Limit int }

func (e *HeaderTooLargeError) Error() string { return "request header too large" }

const (
	// readAhead is how many bytes that follow a header may be read along with it.
	readAhead      = 4 << 10
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// receive charges bytes that have arrived.
func (c *conn) receive(n int) error {
	limits := c.guard.limits()
	err := c.receiveWithin(limits, n)
	var tooLarge *HeaderTooLargeError
	if errors.As(err, &tooLarge) {
		c.Conn.SetWriteDeadline(time.Now().Add(limits.WriteTimeout))
		io.WriteString(c.Conn, headerTooLarge)
		c.CloseWrite()
		return io.EOF // the server must not answer once more
	}
	return err
}

func (c *conn) receiveWithin(limits Limits, n int) error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.lastArrival = time.Now()
	if c.phase == idle {
		c.enter(receivingHeader, limits.HeaderTimeout)
	}
	switch c.phase {
	case receivingHeader:
		c.headerBytes += n
		if c.headerBytes > limits.HeaderBytes+readAhead {
			c.guard.counts.Headers++
			return &HeaderTooLargeError{limits.HeaderBytes}
		}
		return c.guard.charge(c, limits, headerWeight*int64(n))
	case receivingBody:
		if !c.announced {
			return c.guard.charge(c, limits, bodyWeight*int64(n))
		}
	}
	return nil
}

// maxWrite bounds what is written before the client's time for reading begins anew: a large answer over a slow link
// takes longer than WriteTimeout.
const maxWrite = 16 << 10

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	timeout, written := c.guard.limits().WriteTimeout, 0
	for {
		n, err := c.writePart(data[written:min(written+maxWrite, len(data))], timeout)
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

func (c *conn) writePart(data []byte, timeout time.Duration) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(timeout))
	c.change(serving, writing)
	defer c.change(writing, serving)
	return c.Conn.Write(data)
}

// change makes a connection enter a phase without a timeout if it is in another one.
func (c *conn) change(from, to phase) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.phase == from {
		c.enter(to, 0)
	}
}

// CloseWrite ends what is written, so that the client gets an answer to a request that it is still sending.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.closeLocked()
}

func (c *conn) closeLocked() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.timer.Stop()
	c.moveTo(nil)
	c.guard.open--
	c.guard.releasing += c.charged
	return c.Conn.Close()
}

// expire closes the connection if its client has taken too long.
func (c *conn) expire() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if !c.closed && !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		c.guard.close(c, &c.guard.counts.Timeouts, "timeout")
	}
}

// awaitBody records that the header of the current request has been read and its body has not.
func (c *conn) awaitBody() error {
	limits := c.guard.limits()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if err := c.chargeReadAhead(limits); err != nil {
		return err
	}
	c.phase, c.announced = receivingBody, false
	c.setTimeout(limits.BodyTimeout)
	return nil
}

// chargeBody waits until there is memory for a body of an announced length. Nothing is charged for one that is
// longer than handlers accept.
func (c *conn) chargeBody(length int64) error {
	limits := c.guard.limits()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.announced = true
	return c.guard.charge(c, limits, bodyWeight*min(length, limits.BodyBytes))
}

// chargeReadAhead charges a request whose header was read along with the request before it.
func (c *conn) chargeReadAhead(limits Limits) error {
	if c.phase != idle {
		return nil
	}
	c.enter(receivingHeader, limits.HeaderTimeout)
	return c.guard.charge(c, limits, headerWeight*readAhead)
}

// discardBody records that the current request was answered. What is left of its body is of no use.
func (c *conn) discardBody() {
	limits := c.guard.limits()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.phase == receivingBody {
		c.phase = discarding
		c.setTimeout(limits.HeaderTimeout)
	}
}

// beServed records that the current request is complete.
func (c *conn) beServed() error {
	limits := c.guard.limits()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if err := c.chargeReadAhead(limits); err != nil {
		return err
	}
	c.enter(serving, 0)
	return nil
}

// becomeIdle records that the current request was answered.
func (c *conn) becomeIdle() {
	limits := c.guard.limits()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.enter(idle, limits.IdleTimeout)
	c.release()
}

// end records that the server has done with the connection.
func (c *conn) end() {
	c.Close()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.enter(idle, 0)
	c.release()
}

// release returns the memory of the connection's request.
func (c *conn) release() {
	if c.closed {
		c.guard.releasing -= c.charged
	}
	c.guard.used -= c.charged
	c.charged, c.headerBytes = 0, 0
	c.guard.announce()
}

// enter begins a phase, which may have a timeout.
func (c *conn) enter(next phase, timeout time.Duration) {
	if c.phase == serving {
		c.guard.served -= c.charged
	}
	if next == serving {
		c.guard.served += c.charged
	}
	c.phase, c.since = next, time.Now()
	c.setTimeout(timeout)
	switch {
	case c.closed, next == serving:
		c.moveTo(nil)
	case next == idle:
		c.moveTo(c.guard.idle)
	default:
		c.moveTo(c.guard.waiting)
	}
}

func (c *conn) setTimeout(timeout time.Duration) {
	c.deadline = time.Time{}
	if timeout > 0 && !c.closed {
		c.deadline = time.Now().Add(timeout)
		c.timer.Reset(timeout)
	}
}

// moveTo puts the connection at the end of a list; nil: in none.
func (c *conn) moveTo(l *list.List) {
	if c.queue != nil {
		c.queue.Remove(c.place)
	}
	c.queue, c.place = l, nil
	if l != nil {
		c.place = l.PushBack(c)
	}
}

// stalled reports whether the client keeps the process waiting longer than one that sends its request without
// delay and reads the answer.
func (c *conn) stalled(now time.Time) bool {
	return now.Sub(c.since) >= patience || c.phase != writing && now.Sub(c.lastArrival) >= stallTime
}

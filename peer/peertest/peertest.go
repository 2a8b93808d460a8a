// Package peertest is a network in memory, for tests: connections between named
// addresses that can be cut, one way or both, and machines that refuse.
package peertest

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"chutereach/peer"
	"chutereach/wait"
)

// latency is how long a connection takes to be opened.
const latency = time.Millisecond

// Network is a set of listeners. The zero Network is not usable; call New.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[[2]string]bool
	open      map[*conn]bool
	links     map[string]*Link
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, cut: map[[2]string]bool{}, open: map[*conn]bool{}, links: map[string]*Link{}}
}

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

type listener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener on an address.
func (n *Network) Listen(name string) net.Listener {
	l := &listener{network: n, address: name, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[name] = l
	return l
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// conn is one end of a connection; what it writes is lost while its link is cut.
type conn struct {
	net.Conn
	network  *Network
	from, to string
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.network.mu.Lock()
	cut := c.network.cut[[2]string{c.from, c.to}]
	c.network.mu.Unlock()
	if cut {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// piece is how many bytes pass a link at once.
const piece = 4 << 10

// Read implements net.Conn. What comes in passes the reader's link first.
func (c *conn) Read(data []byte) (int, error) {
	c.network.mu.Lock()
	link := c.network.links[c.from]
	c.network.mu.Unlock()
	if link == nil {
		return c.Conn.Read(data)
	}
	n, err := c.Conn.Read(data[:min(len(data), piece)])
	link.Carry(context.Background(), n)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.open, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// Dial returns how the machine at an address opens connections.
func (n *Network) Dial(from string) peer.Dial {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		if err := wait.For(ctx, latency); err != nil {
			return nil, failed(err)
		}
		n.mu.Lock()
		l := n.listeners[to]
		cut := n.cut[[2]string{from, to}] || n.cut[[2]string{to, from}]
		n.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, failed(ctx.Err())
		}
		if l == nil {
			return nil, failed(syscall.ECONNREFUSED)
		}
		near, far := net.Pipe()
		here, there := &conn{near, n, from, to}, &conn{far, n, to, from}
		select {
		case l.conns <- there:
		case <-l.closed:
			return nil, failed(syscall.ECONNREFUSED)
		case <-ctx.Done():
			return nil, failed(ctx.Err())
		}
		n.mu.Lock()
		n.open[here], n.open[there] = true, true
		n.mu.Unlock()
		return here, nil
	}
}

func failed(cause error) error { return &net.OpError{Op: "dial", Net: "memory", Err: cause} }

// Cut loses everything that one machine sends to another; Heal ends it.
func (n *Network) Cut(from, to string) { n.set(from, to, true) }

// Heal ends a Cut.
func (n *Network) Heal(from, to string) { n.set(from, to, false) }

func (n *Network) set(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cut[[2]string{from, to}] = true
	} else {
		delete(n.cut, [2]string{from, to})
	}
}

// Kill closes a machine's listener and connections.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	l := n.listeners[name]
	var ends []*conn
	for c := range n.open {
		if c.from == name || c.to == name {
			ends = append(ends, c)
		}
	}
	n.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, c := range ends {
		c.Close()
	}
}

// SetLink has everything that a machine receives from others pass a link.
func (n *Network) SetLink(name string, link *Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[name] = link
}

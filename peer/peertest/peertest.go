// Package peertest provides an in-memory network for tests, with one-way and two-way
// partitions, machines that refuse connections, and links of limited bandwidth.
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

// latency is the time that it takes to open a connection.
const latency = time.Millisecond

// Network connects named machines. The zero Network is not usable; call New.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	blocked   map[[2]string]bool
	conns     map[*conn]bool
	links     map[string]*Link
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, blocked: map[[2]string]bool{}, conns: map[*conn]bool{}, links: map[string]*Link{}}
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

// Listen returns a listener on the machine called name.
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

// conn is one end of a connection. Its writes are discarded during a partition.
type conn struct {
	net.Conn
	network  *Network
	from, to string
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.network.mu.Lock()
	cut := c.network.blocked[[2]string{c.from, c.to}]
	c.network.mu.Unlock()
	if cut {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// chunkBytes limits the bytes of one read over a link.
const chunkBytes = 4 << 10

// Read implements net.Conn. Data is delayed by the link of the receiving machine.
func (c *conn) Read(data []byte) (int, error) {
	c.network.mu.Lock()
	link := c.network.links[c.from]
	c.network.mu.Unlock()
	if link == nil {
		return c.Conn.Read(data)
	}
	n, err := c.Conn.Read(data[:min(len(data), chunkBytes)])
	link.Transfer(context.Background(), n)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// Dial returns the function with which a machine opens connections.
func (n *Network) Dial(from string) peer.Dial {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		if err := wait.For(ctx, latency); err != nil {
			return nil, dialError(err)
		}
		n.mu.Lock()
		l := n.listeners[to]
		cut := n.blocked[[2]string{from, to}] || n.blocked[[2]string{to, from}]
		n.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, dialError(ctx.Err())
		}
		if l == nil {
			return nil, dialError(syscall.ECONNREFUSED)
		}
		localPipe, remotePipe := net.Pipe()
		local, remote := &conn{localPipe, n, from, to}, &conn{remotePipe, n, to, from}
		select {
		case l.conns <- remote:
		case <-l.closed:
			return nil, dialError(syscall.ECONNREFUSED)
		case <-ctx.Done():
			return nil, dialError(ctx.Err())
		}
		n.mu.Lock()
		n.conns[local], n.conns[remote] = true, true
		n.mu.Unlock()
		return local, nil
	}
}

func dialError(cause error) error { return &net.OpError{Op: "dial", Net: "memory", Err: cause} }

// Partition discards all data that one machine sends to another, until Heal.
func (n *Network) Partition(from, to string) { n.setBlocked(from, to, true) }

// Heal ends a Partition.
func (n *Network) Heal(from, to string) { n.setBlocked(from, to, false) }

func (n *Network) setBlocked(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.blocked[[2]string{from, to}] = true
	} else {
		delete(n.blocked, [2]string{from, to})
	}
}

// Kill closes the listener and the connections of a machine.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	l := n.listeners[name]
	var affected []*conn
	for c := range n.conns {
		if c.from == name || c.to == name {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, c := range affected {
		c.Close()
	}
}

// SetLink makes a machine receive all data over link.
func (n *Network) SetLink(name string, link *Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[name] = link
}

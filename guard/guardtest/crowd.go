// Package guardtest has clients that do not behave, for tests of the interfaces that they can reach,
// and measures what the process that serves them uses.
package guardtest

import (
	"bufio"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// Client is what each member of a crowd sends on its connection.
type Client struct {
	// Send writes to the connection until it is done or the server closes.
	Send func(io.Writer)
	// Reads is whether the client reads the server's answers.
	Reads bool
}

// sendTimeout ends the sending of a client whose bytes the server does not take.
const sendTimeout = 5 * time.Second

// Crowd holds the open connections of clients.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Join opens a connection to address for each client, and returns once all have sent what they send. The
// connections stay open until the server closes them or Leave is called.
func Join(t testing.TB, address string, clients int, client Client) *Crowd {
	c := &Crowd{}
	t.Cleanup(c.Leave)
	var sending sync.WaitGroup
	for range clients {
		sending.Go(func() { c.join(address, client) })
	}
	sending.Wait()
	return c
}

func (c *Crowd) join(address string, client Client) {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return // to refuse a connection is allowed
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if client.Reads {
		go io.Copy(io.Discard, conn)
	} else {
		conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
	}
	conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	w := bufio.NewWriterSize(conn, 16<<10)
	client.Send(w)
	w.Flush()
}

// smallBuffer is the receive buffer of clients that do not read.
const smallBuffer = 4 << 10

// Leave closes all connections.
func (c *Crowd) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

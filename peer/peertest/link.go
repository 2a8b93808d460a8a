package peertest

import (
	"context"
	"sync"
	"time"

	"chutereach/wait"
)

// Link simulates the downlink of a machine. All connections of the machine share its
// bandwidth.
type Link struct {
	bytesPerSecond int

	mu          sync.Mutex
	idleAt      time.Time // when the transfers so far are complete
	transferred int
}

// NewLink returns a link with a bandwidth in bytes per second.
func NewLink(rate int) *Link { return &Link{bytesPerSecond: rate} }

// Transfer waits for the transfer of so many bytes, which starts after earlier ones.
func (l *Link) Transfer(ctx context.Context, bytes int) error {
	l.mu.Lock()
	now := time.Now()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	l.transferred += bytes
	delay := l.idleAt.Sub(now)
	l.mu.Unlock()
	return wait.For(ctx, delay)
}

// Transferred returns the total of the bytes passed to Transfer.
func (l *Link) Transferred() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.transferred
}

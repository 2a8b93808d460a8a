package peertest

import (
	"context"
	"sync"
	"time"

	"chutereach/wait"
)

// Link carries the bytes that one machine receives, at a rate that all of its
// connections share.
type Link struct {
	rate int // bytes a second

	mu      sync.Mutex
	free    time.Time // when everything that was handed in so far is through
	carried int
}

// NewLink returns a link of so many bytes a second.
func NewLink(rate int) *Link { return &Link{rate: rate} }

// Carry waits until so many bytes are through, behind those that were there before.
func (l *Link) Carry(ctx context.Context, bytes int) error {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / time.Duration(l.rate))
	l.carried += bytes
	until := l.free.Sub(now)
	l.mu.Unlock()
	return wait.For(ctx, until)
}

// Carried returns how many bytes were handed in.
func (l *Link) Carried() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried
}

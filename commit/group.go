package commit

import (
	"context"
	"errors"
	"sync"

	"github.com/rs/xid"

	"chutereach/provider"
)

// Part holds the conditions and writes that one caller adds to a transaction of a Group.
type Part struct {
	Conds  []provider.Cond
	Writes []provider.Write
}

// Insert returns p with the insertion of a row that must not exist.
func (p Part) Insert(key string, value []byte) Part {
	p.Conds = append(p.Conds, provider.Cond{Key: key})
	p.Writes = append(p.Writes, provider.Write{Key: key, Value: value})
	return p
}

// Remove returns p with the deletion of a row that must be at version.
func (p Part) Remove(key string, version uint64) Part {
	p.Conds = append(p.Conds, provider.Cond{Key: key, Version: version})
	p.Writes = append(p.Writes, provider.Write{Key: key, Delete: true})
	return p
}

// Put returns p with the replacement of a row that must be at version.
func (p Part) Put(key string, version uint64, value []byte) Part {
	p.Conds = append(p.Conds, provider.Cond{Key: key, Version: version})
	p.Writes = append(p.Writes, provider.Write{Key: key, Value: value})
	return p
}

// maxGroupRows is the maximum number of rows in a batch of more than one part.
const maxGroupRows = 500

// Group implements group commit: it batches the parts of concurrent callers into one
// transaction. Parts queue while transactions are in flight, so batches grow with the
// table's latency.
type Group struct {
	sender  *Sender
	mu      sync.Mutex
	pending []*pendingPart
	wake    chan struct{}
}

// pendingPart is a part whose outcome is not known yet.
type pendingPart struct {
	part Part
	done chan outcome // buffered, so that completing a part never blocks
}

// outcome is the result of a part.
type outcome struct {
	version uint64
	err     error
}

// NewGroup returns a Group that sends through s. Nothing is sent until Run is called.
func NewGroup(s *Sender) *Group {
	return &Group{sender: s, wake: make(chan struct{}, 1)}
}

// Do queues p for the next transaction and waits for its outcome: the version of the
// written rows, a provider.ConflictError for one of p's own conditions, a NotAppliedError
// or an UnknownOutcomeError. It returns an UnknownOutcomeError if ctx ends first.
func (g *Group) Do(ctx context.Context, p Part) (uint64, error) {
	w := &pendingPart{p, make(chan outcome, 1)}
	g.mu.Lock()
	g.pending = append(g.pending, w)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
	select {
	case o := <-w.done:
		return o.version, o.err
	case <-ctx.Done():
		return 0, &UnknownOutcomeError{"(batched)", ctx.Err()}
	}
}

// Run sends transactions, up to concurrency at a time, until ctx ends.
func (g *Group) Run(ctx context.Context, concurrency int) {
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() { g.runSender(ctx) })
	}
	wg.Wait()
	for parts := g.nextBatch(); len(parts) > 0; parts = g.nextBatch() {
		g.complete(parts, outcome{0, &NotAppliedError{"(batched)", context.Cause(ctx)}})
	}
}

func (g *Group) runSender(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		if g.sender.Wait(ctx) != nil {
			return
		}
		g.send(ctx, g.nextBatch())
	}
}

// nextBatch removes as many parts from the queue as fit into one transaction, and wakes
// another sender if parts remain. Parts that share a row are put into different
// transactions: within one, the conditions of both would hold, and both callers would be
// told that their write succeeded.
func (g *Group) nextBatch() []*pendingPart {
	g.mu.Lock()
	defer g.mu.Unlock()
	var batch, rest []*pendingPart
	keys := map[string]bool{}
	for i, w := range g.pending {
		if len(batch) > 0 && len(keys)+len(w.part.Conds) > maxGroupRows {
			rest = append(rest, g.pending[i:]...)
			break
		}
		if overlaps(w.part, keys) {
			rest = append(rest, w)
			continue
		}
		for _, c := range w.part.Conds {
			keys[c.Key] = true
		}
		batch = append(batch, w)
	}
	g.pending = rest
	if len(g.pending) > 0 {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
	return batch
}

// send commits parts in one transaction. If it conflicts, the parts with the failed
// condition are completed with the conflict and the others are sent again.
func (g *Group) send(ctx context.Context, parts []*pendingPart) {
	for len(parts) > 0 {
		t := provider.Txn{ID: xid.New().String()}
		for _, w := range parts {
			t.Conds = append(t.Conds, w.part.Conds...)
			t.Writes = append(t.Writes, w.part.Writes...)
		}
		version, err := g.sender.DoUnthrottled(ctx, t)
		var conflict *provider.ConflictError
		if !errors.As(err, &conflict) {
			g.complete(parts, outcome{version, err})
			return
		}
		rest := g.rejectConflicting(parts, conflict)
		if len(rest) == len(parts) {
			g.complete(parts, outcome{0, conflict}) // no part has the condition: avoid an endless loop
			return
		}
		parts = rest
	}
}

// rejectConflicting completes the parts that have the condition of conflict and returns the
// others.
func (g *Group) rejectConflicting(parts []*pendingPart, conflict *provider.ConflictError) []*pendingPart {
	var rest []*pendingPart
	for _, w := range parts {
		if hasCond(w.part, conflict.Key) {
			w.done <- outcome{0, conflict}
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

func overlaps(p Part, keys map[string]bool) bool {
	for _, c := range p.Conds {
		if keys[c.Key] {
			return true
		}
	}
	return false
}

func hasCond(p Part, key string) bool {
	for _, c := range p.Conds {
		if c.Key == key {
			return true
		}
	}
	return false
}

func (g *Group) complete(parts []*pendingPart, o outcome) {
	for _, w := range parts {
		w.done <- o
	}
}

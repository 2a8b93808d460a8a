package commit

import (
	"context"
	"errors"
	"sync"

	"github.com/rs/xid"

	"chutereach/provider"
)

// Part is one caller's share of a group's transaction.
type Part struct {
	Conds  []provider.Cond
	Writes []provider.Write
}

// Insert returns p with one more row that must be absent.
func (p Part) Insert(key string, value []byte) Part {
	p.Conds = append(p.Conds, provider.Cond{Key: key})
	p.Writes = append(p.Writes, provider.Write{Key: key, Value: value})
	return p
}

// Remove returns p with one more row that must be at version, and goes.
func (p Part) Remove(key string, version uint64) Part {
	p.Conds = append(p.Conds, provider.Cond{Key: key, Version: version})
	p.Writes = append(p.Writes, provider.Write{Key: key, Delete: true})
	return p
}

// Put returns p with one more row that must be at version.
func (p Part) Put(key string, version uint64, value []byte) Part {
	p.Conds = append(p.Conds, provider.Cond{Key: key, Version: version})
	p.Writes = append(p.Writes, provider.Write{Key: key, Value: value})
	return p
}

// maxGroupRows bounds a transaction of a group.
const maxGroupRows = 500

// Group gathers the parts of many callers into few transactions. While one is
// on its way the next gathers, so that the batch grows as the table slows.
type Group struct {
	sender *Sender
	mu     sync.Mutex
	parts  []*waiting
	wake   chan struct{}
}

type waiting struct {
	part Part
	done chan fate // has room for the one answer
}

// fate is what became of a part.
type fate struct {
	version uint64
	err     error
}

// NewGroup returns a Group that sends by s. Run must be called.
func NewGroup(s *Sender) *Group {
	return &Group{sender: s, wake: make(chan struct{}, 1)}
}

// Do adds p to the next transaction and waits for its fate: the version of its
// rows, a ConflictError for one of p's own conditions, an AbandonedError or an
// UndecidedError. A caller whose ctx ends does not know the fate.
func (g *Group) Do(ctx context.Context, p Part) (uint64, error) {
	w := &waiting{p, make(chan fate, 1)}
	g.mu.Lock()
	g.parts = append(g.parts, w)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
	select {
	case f := <-w.done:
		return f.version, f.err
	case <-ctx.Done():
		return 0, &UndecidedError{"of a group", ctx.Err()}
	}
}

// Run sends transactions until ctx ends, lanes of them at a time.
func (g *Group) Run(ctx context.Context, lanes int) {
	var wg sync.WaitGroup
	for range lanes {
		wg.Go(func() { g.lane(ctx) })
	}
	wg.Wait()
	for parts := g.take(); len(parts) > 0; parts = g.take() {
		g.answer(parts, fate{0, &AbandonedError{"of a group", context.Cause(ctx)}})
	}
}

func (g *Group) lane(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		if g.sender.Wait(ctx) != nil {
			return
		}
		g.send(ctx, g.take())
	}
}

// take removes as many waiting parts as fit one transaction. Parts with a row in
// common go into different ones: in one, each would find its conditions true,
// and two callers would claim one key. If more wait it wakes another lane.
func (g *Group) take() []*waiting {
	g.mu.Lock()
	defer g.mu.Unlock()
	var taken, rest []*waiting
	keys := map[string]bool{}
	for i, w := range g.parts {
		if len(taken) > 0 && len(keys)+len(w.part.Conds) > maxGroupRows {
			rest = append(rest, g.parts[i:]...)
			break
		}
		if overlaps(w.part, keys) {
			rest = append(rest, w)
			continue
		}
		for _, c := range w.part.Conds {
			keys[c.Key] = true
		}
		taken = append(taken, w)
	}
	g.parts = rest
	if len(g.parts) > 0 {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
	return taken
}

// send commits parts together. A part that conflicts is answered and left out,
// and the others are sent again.
func (g *Group) send(ctx context.Context, parts []*waiting) {
	for len(parts) > 0 {
		t := provider.Txn{ID: xid.New().String()}
		for _, w := range parts {
			t.Conds = append(t.Conds, w.part.Conds...)
			t.Writes = append(t.Writes, w.part.Writes...)
		}
		version, err := g.sender.DoNow(ctx, t)
		var conflict *provider.ConflictError
		if !errors.As(err, &conflict) {
			g.answer(parts, fate{version, err})
			return
		}
		rest := g.reject(parts, conflict)
		if len(rest) == len(parts) {
			g.answer(parts, fate{0, conflict}) // a conflict of none of them: do not spin
			return
		}
		parts = rest
	}
}

func (g *Group) reject(parts []*waiting, conflict *provider.ConflictError) []*waiting {
	var rest []*waiting
	for _, w := range parts {
		if hasCond(w.part, conflict.Key) {
			w.done <- fate{0, conflict}
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

func (g *Group) answer(parts []*waiting, f fate) {
	for _, w := range parts {
		w.done <- f
	}
}

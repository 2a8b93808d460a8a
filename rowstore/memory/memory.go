// Package memory keeps a row store in memory, for tests. It does what package
// rowstore asks of a store, and fails in the ways that callers must bear: it can
// be slow or down, lose answers, carry calls out late, turn some callers away,
// and forget its history.
package memory

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"chutereach/rowstore"
	"chutereach/transfer"
	"chutereach/wait"
)

// Store is a row store in memory. The zero Store is not usable; call New.
type Store struct {
	mu      sync.Mutex
	rows    map[rowstore.Key]rowstore.Row
	history []rowstore.Row // every change, in order
	forgot  uint64         // history up to this version is gone
	version uint64
	changed chan struct{}
	commits int
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[rowstore.Key]rowstore.Row{}, changed: make(chan struct{})}
}

// Commits returns how many transactions were applied.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Row returns a row as it is.
func (s *Store) Row(key rowstore.Key) (rowstore.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	return row, ok
}

// ForgetHistory makes feeds from before now fail.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgot, s.history = s.version, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// Commit implements rowstore.Store.
func (s *Store) Commit(_ context.Context, transaction rowstore.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(transaction); err != nil {
		return 0, err
	}
	s.version++
	s.commits++
	for _, put := range transaction.Puts {
		s.write(rowstore.Row{Key: put.Key, Value: put.Value, Version: s.version})
	}
	for _, key := range transaction.Deletes {
		if _, ok := s.rows[key]; ok {
			s.write(rowstore.Row{Key: key, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

func (s *Store) check(transaction rowstore.Transaction) error {
	if n := len(transaction.Conditions) + len(transaction.Puts) + len(transaction.Deletes); n > rowstore.MaxEntries {
		return &rowstore.UnavailableError{Cause: errors.New("too many entries")}
	}
	met := true
	var rows []rowstore.Row
	for _, condition := range transaction.Conditions {
		row, ok := s.rows[condition.Key]
		if !ok {
			row = rowstore.Row{Key: condition.Key}
		}
		rows = append(rows, row)
		met = met && row.Version == condition.Version
	}
	if !met {
		return &rowstore.ConflictError{Rows: rows}
	}
	return nil
}

func (s *Store) write(row rowstore.Row) {
	if row.Deleted {
		delete(s.rows, row.Key)
	} else {
		s.rows[row.Key] = row
	}
	s.history = append(s.history, row)
}

// RowsWritten counts the changes of rows of a table.
func (s *Store) RowsWritten(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, row := range s.history {
		if row.Table == table {
			count++
		}
	}
	return count
}

// Read implements rowstore.Store.
func (s *Store) Read(_ context.Context, table, partition, from string, limit int) (rowstore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rowstore.Page{Version: s.version}
	for key, row := range s.rows {
		if key.Table == table && key.Partition == partition && key.Name >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, k int) bool { return page.Rows[i].Name < page.Rows[k].Name })
	if limit <= 0 || limit > rowstore.MaxPage {
		limit = rowstore.MaxPage
	}
	if len(page.Rows) > limit {
		page.Rows, page.More = page.Rows[:limit], true
	}
	return page, nil
}

// Watch implements rowstore.Store.
func (s *Store) Watch(ctx context.Context, table string, after uint64, limit time.Duration) (rowstore.Page, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		page, changed, err := s.changes(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return rowstore.Page{}, &rowstore.UnknownError{Cause: ctx.Err()}
		}
	}
}

func (s *Store) changes(table string, after uint64) (rowstore.Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgot {
		return rowstore.Page{}, nil, &rowstore.HistoryLostError{After: after}
	}
	page := rowstore.Page{Version: s.version}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, s.changed, nil
}

// Fault is what happens to a call.
type Fault struct {
	Slow   time.Duration // it takes this much longer
	Return time.Duration // its answer takes this much longer, after it is done
	Refuse bool          // it is refused; nothing is done
	Silent bool          // it is not done, and there is no answer
	Mute   bool          // it is done, and there is no answer
	Late   time.Duration // it is done this much later, and there is no answer
}

// latency is how long a call takes.
const latency = 5 * time.Millisecond

// Caller is the store as one caller reaches it. Its faults can be changed at any
// time.
type Caller struct {
	store *Store
	mu    sync.Mutex
	fault func(write bool) Fault
	// observe, if given, is told the pages that this caller is sent.
	observe func(rowstore.Page)
	calls   int
	down    Carry // of answers
	up      Carry // of transactions
}

// Carry waits until so many bytes have passed a link.
type Carry func(ctx context.Context, bytes int) error

// piece is how many bytes of an answer come in at once.
const piece = 4 << 10

// Caller returns the store as a new caller reaches it.
func (s *Store) Caller() *Caller { return &Caller{store: s} }

// SetFault has f decide what happens to each call; nil: nothing does.
func (c *Caller) SetFault(f func(write bool) Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// SetLink has answers with rows pass a link.
func (c *Caller) SetLink(carry Carry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = carry
}

// SetUplink has what transactions write pass a link.
func (c *Caller) SetUplink(carry Carry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.up = carry
}

// pass lets so many bytes pass a link, piece by piece.
func (carry Carry) pass(ctx context.Context, size int) error {
	begun := time.Now()
	for passed := 0; carry != nil && passed < size; passed += piece {
		if err := carry(ctx, min(piece, size-passed)); err != nil {
			return &transfer.BrokenOffError{Received: transfer.Received{Bytes: passed, Took: time.Since(begun)}, Cause: err}
		}
		transfer.Progressed(ctx)
	}
	return nil
}

// Calls counts the calls that were made.
func (c *Caller) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Observe has f called with each page that this caller is sent from now on.
func (c *Caller) Observe(f func(rowstore.Page)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe = f
}

// receive lets an answer come in.
func (c *Caller) receive(ctx context.Context, page rowstore.Page) (rowstore.Page, error) {
	c.mu.Lock()
	down, observe := c.down, c.observe
	c.mu.Unlock()
	if observe != nil {
		observe(page)
	}
	size, begun := 0, time.Now()
	for _, row := range page.Rows {
		size += len(row.Value)
	}
	if err := down.pass(ctx, size); err != nil {
		return rowstore.Page{}, &rowstore.UnknownError{Cause: err}
	}
	page.Received = transfer.Received{Bytes: size, Took: time.Since(begun)}
	return page, nil
}

// send lets a transaction go out.
func (c *Caller) send(ctx context.Context, transaction rowstore.Transaction) error {
	c.mu.Lock()
	up := c.up
	c.mu.Unlock()
	size := 0
	for _, put := range transaction.Puts {
		size += len(put.Value)
	}
	if err := up.pass(ctx, size); err != nil {
		return &rowstore.UnknownError{Cause: err}
	}
	return nil
}

func (c *Caller) next(write bool) Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.fault == nil {
		return Fault{}
	}
	return c.fault(write)
}

// pass lets a call through, or returns what became of it.
func (c *Caller) pass(ctx context.Context, fault Fault) error {
	if wait.For(ctx, latency+fault.Slow) != nil {
		return &rowstore.UnknownError{Cause: ctx.Err()}
	}
	switch {
	case fault.Refuse:
		return &rowstore.UnavailableError{Cause: errors.New("refused by a fault")}
	case fault.Silent:
		<-ctx.Done()
		return &rowstore.UnknownError{Cause: ctx.Err()}
	}
	return nil
}

// Commit implements rowstore.Store.
func (c *Caller) Commit(ctx context.Context, transaction rowstore.Transaction) (uint64, error) {
	fault := c.next(true)
	if err := c.send(ctx, transaction); err != nil {
		return 0, err
	}
	if err := c.pass(ctx, fault); err != nil {
		return 0, err
	}
	if fault.Late > 0 {
		go func() {
			time.Sleep(fault.Late)
			c.store.Commit(context.Background(), transaction)
		}()
		<-ctx.Done()
		return 0, &rowstore.UnknownError{Cause: ctx.Err()}
	}
	version, err := c.store.Commit(ctx, transaction)
	if wait.For(ctx, fault.Return) != nil {
		return 0, &rowstore.UnknownError{Cause: ctx.Err()}
	}
	if fault.Mute {
		<-ctx.Done()
		return 0, &rowstore.UnknownError{Cause: ctx.Err()}
	}
	return version, err
}

// Read implements rowstore.Store.
func (c *Caller) Read(ctx context.Context, table, partition, from string, limit int) (rowstore.Page, error) {
	if err := c.pass(ctx, c.next(false)); err != nil {
		return rowstore.Page{}, err
	}
	page, err := c.store.Read(ctx, table, partition, from, limit)
	if err != nil {
		return page, err
	}
	return c.receive(ctx, page)
}

// Watch implements rowstore.Store.
func (c *Caller) Watch(ctx context.Context, table string, after uint64, limit time.Duration) (rowstore.Page, error) {
	if err := c.pass(ctx, c.next(false)); err != nil {
		return rowstore.Page{}, err
	}
	page, err := c.store.Watch(ctx, table, after, limit)
	if err != nil {
		return page, err
	}
	return c.receive(ctx, page)
}

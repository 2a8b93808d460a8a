// Package memory implements a row store in memory, for tests. It can inject the faults
// that clients of a store must handle: delays, rejected calls, lost requests and responses,
// transactions applied late, and loss of the change history. Faults are set per client.
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

// Store is a row store in memory. Use New to create one.
type Store struct {
	mu            sync.Mutex
	rows          map[rowstore.Key]rowstore.Row
	history       []rowstore.Row // all changes in order of their version
	discardedUpTo uint64         // changes up to this version have been discarded
	version       uint64
	changed       chan struct{} // closed and replaced when the history changes
	commits       int
	sizesLimited  bool
	exemptTables  []string                // whose rows have no limit
	rejects       func(rowstore.Put) bool // which rows the store does not accept; may be nil
	startedAt     time.Time
}

// epoch is the reading of a store's clock at its start. It is not 0, which would be an unknown time.
const epoch = time.Hour

// now returns the reading of the store's clock.
func (s *Store) now() time.Duration { return epoch + time.Since(s.startedAt) }

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[rowstore.Key]rowstore.Row{}, changed: make(chan struct{}), startedAt: time.Now()}
}

// Commits returns the number of transactions that were applied.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Row returns the row with the given key, and whether it exists.
func (s *Store) Row(key rowstore.Key) (rowstore.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	return row, ok
}

// DiscardHistory discards all changes, so that Watch from an earlier version fails with
// HistoryLostError.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discardedUpTo, s.history = s.version, nil
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

func (s *Store) write(row rowstore.Row) {
	if row.Deleted {
		delete(s.rows, row.Key)
	} else {
		s.rows[row.Key] = row
	}
	s.history = append(s.history, row)
}

// RowsWritten returns the number of changes to rows of a table since the history was last
// discarded.
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
	page := rowstore.Page{Version: s.version, Now: s.now()}
	for key, row := range s.rows {
		if key.Table == table && key.Partition == partition && key.Name >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, k int) bool { return page.Rows[i].Name < page.Rows[k].Name })
	if limit <= 0 || limit > rowstore.MaxPageRows {
		limit = rowstore.MaxPageRows
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
			return rowstore.Page{}, &rowstore.UnknownOutcomeError{Cause: ctx.Err()}
		}
	}
}

func (s *Store) changes(table string, after uint64) (rowstore.Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.discardedUpTo {
		return rowstore.Page{}, nil, &rowstore.HistoryLostError{After: after}
	}
	page := rowstore.Page{Version: s.version, Now: s.now()}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, s.changed, nil
}

// Fault describes how a call fails or is delayed. The zero Fault has no effect.
type Fault struct {
	Delay         time.Duration // delay before the call is processed
	ResponseDelay time.Duration // delay of the response to a Commit, after it is applied
	Reject        bool          // the call fails with UnavailableError and has no effect
	DropRequest   bool          // the call has no effect and no response
	DropResponse  bool          // a Commit is applied but has no response
	ApplyDelay    time.Duration // a Commit is applied after this delay and has no response
}

// latency is the duration of a call without faults.
const latency = 5 * time.Millisecond

// Client is one client's access to a Store, with its own faults and links. They can be
// changed at any time.
type Client struct {
	store    *Store
	mu       sync.Mutex
	fault    func(write bool) Fault
	observe  func(rowstore.Page) // called with each page before it is sent; may be nil
	calls    int
	downlink LinkFunc // for responses; nil: no delay
	uplink   LinkFunc // for transactions; nil: no delay
}

// LinkFunc waits for the time that a simulated network link takes to transmit a number of
// bytes.
type LinkFunc func(ctx context.Context, bytes int) error

// chunkSize is the number of bytes that are transmitted at once.
const chunkSize = 4 << 10

// NewClient returns a new Client for the store, without faults or links.
func (s *Store) NewClient() *Client { return &Client{store: s} }

// SetFault sets the function that returns the fault of each call; write is true for
// Commit. A nil function removes all faults.
func (c *Client) SetFault(f func(write bool) Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// SetDownlink sets the link that transmits the rows of responses.
func (c *Client) SetDownlink(link LinkFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.downlink = link
}

// SetUplink sets the link that transmits the rows of transactions.
func (c *Client) SetUplink(link LinkFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uplink = link
}

// transmit sends size bytes through the link in chunks and notes progress after each.
func (link LinkFunc) transmit(ctx context.Context, size int) error {
	start := time.Now()
	for sent := 0; link != nil && sent < size; sent += chunkSize {
		if err := link(ctx, min(chunkSize, size-sent)); err != nil {
			return &transfer.TruncatedError{Received: transfer.Received{Bytes: sent, Took: time.Since(start)}, Cause: err}
		}
		transfer.ReportProgress(ctx)
	}
	return nil
}

// CallCount returns the number of calls that were made.
func (c *Client) CallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Observe calls f with each further page that is sent to this client.
func (c *Client) Observe(f func(rowstore.Page)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe = f
}

// receive simulates the transfer of a response.
func (c *Client) receive(ctx context.Context, page rowstore.Page) (rowstore.Page, error) {
	c.mu.Lock()
	link, observe := c.downlink, c.observe
	c.mu.Unlock()
	if observe != nil {
		observe(page)
	}
	size, start := 0, time.Now()
	for _, row := range page.Rows {
		size += len(row.Value)
	}
	if err := link.transmit(ctx, size); err != nil {
		return rowstore.Page{}, &rowstore.UnknownOutcomeError{Cause: err}
	}
	page.Received = transfer.Received{Bytes: size, Took: time.Since(start)}
	return page, nil
}

// send simulates the transfer of a transaction.
func (c *Client) send(ctx context.Context, transaction rowstore.Transaction) error {
	c.mu.Lock()
	link := c.uplink
	c.mu.Unlock()
	size := 0
	for _, put := range transaction.Puts {
		size += len(put.Value)
	}
	if err := link.transmit(ctx, size); err != nil {
		return &rowstore.UnknownOutcomeError{Cause: err}
	}
	return nil
}

func (c *Client) nextFault(write bool) Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.fault == nil {
		return Fault{}
	}
	return c.fault(write)
}

// applyFault waits for the latency and delay of a call, and returns an error if the fault
// keeps it from the store.
func (c *Client) applyFault(ctx context.Context, fault Fault) error {
	if wait.For(ctx, latency+fault.Delay) != nil {
		return &rowstore.UnknownOutcomeError{Cause: ctx.Err()}
	}
	switch {
	case fault.Reject:
		return &rowstore.UnavailableError{Cause: errors.New("rejected by an injected fault")}
	case fault.DropRequest:
		<-ctx.Done()
		return &rowstore.UnknownOutcomeError{Cause: ctx.Err()}
	}
	return nil
}

// Commit implements rowstore.Store.
func (c *Client) Commit(ctx context.Context, transaction rowstore.Transaction) (uint64, error) {
	fault := c.nextFault(true)
	if err := c.send(ctx, transaction); err != nil {
		return 0, err
	}
	if err := c.applyFault(ctx, fault); err != nil {
		return 0, err
	}
	if fault.ApplyDelay > 0 {
		go func() {
			time.Sleep(fault.ApplyDelay)
			c.store.Commit(context.Background(), transaction)
		}()
		<-ctx.Done()
		return 0, &rowstore.UnknownOutcomeError{Cause: ctx.Err()}
	}
	version, err := c.store.Commit(ctx, transaction)
	if wait.For(ctx, fault.ResponseDelay) != nil {
		return 0, &rowstore.UnknownOutcomeError{Cause: ctx.Err()}
	}
	if fault.DropResponse {
		<-ctx.Done()
		return 0, &rowstore.UnknownOutcomeError{Cause: ctx.Err()}
	}
	return version, err
}

// Read implements rowstore.Store.
func (c *Client) Read(ctx context.Context, table, partition, from string, limit int) (rowstore.Page, error) {
	if err := c.applyFault(ctx, c.nextFault(false)); err != nil {
		return rowstore.Page{}, err
	}
	page, err := c.store.Read(ctx, table, partition, from, limit)
	if err != nil {
		return page, err
	}
	return c.receive(ctx, page)
}

// Watch implements rowstore.Store.
func (c *Client) Watch(ctx context.Context, table string, after uint64, limit time.Duration) (rowstore.Page, error) {
	if err := c.applyFault(ctx, c.nextFault(false)); err != nil {
		return rowstore.Page{}, err
	}
	page, err := c.store.Watch(ctx, table, after, limit)
	if err != nil {
		return page, err
	}
	return c.receive(ctx, page)
}

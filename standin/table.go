package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"chutereach/provider"
)

// Operations of the table.
const (
	OpGet    Op = "get"
	OpRange  Op = "range"
	OpCommit Op = "commit"
)

// Table is a transactional table in memory.
type Table struct {
	Faults Faults
	// Commits and Reads count the requests carried out; Bytes what was written.
	Commits, Reads, Bytes atomic.Int64

	mu      sync.RWMutex
	rows    map[string]provider.Row
	keys    []string // sorted
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]provider.Row{}} }

// Calmly calls f while no fault befalls the table.
func (t *Table) Calmly(f func()) {
	t.Faults.mu.Lock()
	choose := t.Faults.choose
	t.Faults.choose = nil
	t.Faults.mu.Unlock()
	defer t.Faults.Set(choose)
	f()
}

// Get implements provider.Table.
func (t *Table) Get(ctx context.Context, key string) (provider.Row, error) {
	return Through(ctx, &t.Faults, provider.TableService, OpGet, key, func() (provider.Row, error) {
		t.Reads.Add(1)
		t.mu.RLock()
		defer t.mu.RUnlock()
		return t.rows[key], nil
	})
}

// Range implements provider.Table.
func (t *Table) Range(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	return Through(ctx, &t.Faults, provider.TableService, OpRange, prefix, func() ([]provider.Row, error) {
		t.Reads.Add(1)
		t.mu.RLock()
		defer t.mu.RUnlock()
		return t.scan(prefix, after, limit), nil
	})
}

func (t *Table) scan(prefix, after string, limit int) []provider.Row {
	i, found := slices.BinarySearch(t.keys, max(prefix, after))
	if found && t.keys[i] == after {
		i++
	}
	var rows []provider.Row
	for ; i < len(t.keys) && len(rows) < limit && strings.HasPrefix(t.keys[i], prefix); i++ {
		rows = append(rows, t.rows[t.keys[i]])
	}
	return rows
}

// Commit implements provider.Table.
func (t *Table) Commit(ctx context.Context, txn provider.Txn) (uint64, error) {
	target := ""
	if len(txn.Writes) > 0 {
		target = txn.Writes[0].Key
	}
	return Through(ctx, &t.Faults, provider.TableService, OpCommit, target, func() (uint64, error) {
		return t.apply(txn)
	})
}

func (t *Table) apply(txn provider.Txn) (uint64, error) {
	t.Commits.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conds {
		if have := t.rows[c.Key]; have.Version != c.Version {
			return 0, &provider.ConflictError{Key: c.Key, Want: c.Version, Have: have}
		}
	}
	t.version++
	for _, w := range txn.Writes {
		t.write(w, txn.ID)
	}
	return t.version, nil
}

func (t *Table) write(w provider.Write, txn string) {
	i, found := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		if found {
			t.keys = slices.Delete(t.keys, i, i+1)
			delete(t.rows, w.Key)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
	t.Bytes.Add(int64(len(w.Value)))
	t.rows[w.Key] = provider.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: t.version, Txn: txn}
}

// Objects is an object store in memory.
type Objects struct {
	Faults Faults
	mu     sync.Mutex
	data   map[string][]byte
}

// NewObjects returns an empty store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// Operations of the object store.
const (
	OpPut       Op = "put"
	OpGetObject Op = "get-object"
	OpDelete    Op = "delete"
)

// Put implements provider.Objects.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := Through(ctx, &o.Faults, provider.ObjectService, OpPut, name, func() (struct{}, error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.data[name] = slices.Clone(data)
		return struct{}{}, nil
	})
	return err
}

// Get implements provider.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return Through(ctx, &o.Faults, provider.ObjectService, OpGetObject, name, func() ([]byte, error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		data, found := o.data[name]
		if !found {
			return nil, &provider.NotFoundError{Service: provider.ObjectService, Name: name}
		}
		return data, nil
	})
}

// Delete implements provider.Objects.
func (o *Objects) Delete(ctx context.Context, name string) error {
	_, err := Through(ctx, &o.Faults, provider.ObjectService, OpDelete, name, func() (struct{}, error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.data, name)
		return struct{}{}, nil
	})
	return err
}

// BoxList is a list of boxes that tests write.
type BoxList struct {
	Faults Faults
	mu     sync.Mutex
	boxes  []provider.Box
}

// Set replaces the list.
func (b *BoxList) Set(boxes ...provider.Box) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = boxes
}

// OpListBoxes is the operation of the box list.
const OpListBoxes Op = "list-boxes"

// List implements provider.BoxList.
func (b *BoxList) List(ctx context.Context) ([]provider.Box, error) {
	return Through(ctx, &b.Faults, provider.BoxListService, OpListBoxes, "", func() ([]provider.Box, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		return slices.Clone(b.boxes), nil
	})
}

package provider

import "context"

// Row is a row of the table, as read.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"` // increases with each write; 0 if the row does not exist
	Txn     string `cbor:"4,keyasint"` // ID of the transaction that wrote the row
}

// Exists reports whether the row was in the table.
func (r Row) Exists() bool { return r.Version != 0 }

// Cond is a condition on the version of a row when a transaction is applied.
// Version 0 requires that the row does not exist.
type Cond struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Write puts or deletes a row.
type Write struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint,omitempty"`
	Delete bool   `cbor:"3,keyasint,omitempty"`
}

// Txn is an atomic transaction: all Writes are applied if all Conds hold, else none
// is. A transaction that may be sent twice must write at least one row on which it
// has a condition.
type Txn struct {
	ID     string  `cbor:"1,keyasint"`
	Conds  []Cond  `cbor:"2,keyasint"`
	Writes []Write `cbor:"3,keyasint"`
}

// Put returns t with an additional conditional write of key.
func (t Txn) Put(key string, version uint64, value []byte) Txn {
	t.Conds = append(t.Conds, Cond{key, version})
	t.Writes = append(t.Writes, Write{Key: key, Value: value})
	return t
}

// Remove returns t with an additional conditional deletion of key.
func (t Txn) Remove(key string, version uint64) Txn {
	t.Conds = append(t.Conds, Cond{key, version})
	t.Writes = append(t.Writes, Write{Key: key, Delete: true})
	return t
}

// Require returns t with an additional condition and no write.
func (t Txn) Require(key string, version uint64) Txn {
	t.Conds = append(t.Conds, Cond{key, version})
	return t
}

// Table is the platform's transactional table service. Every method may return
// an UnavailableError, a RateLimitedError or an UnknownError.
type Table interface {
	// Get reads a row. A row that does not exist is no error; its Version is 0.
	Get(ctx context.Context, key string) (Row, error)
	// Range reads at most limit rows in key order, whose keys have the prefix and
	// are greater than after.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the new version of all rows it wrote,
	// or a ConflictError.
	Commit(ctx context.Context, t Txn) (uint64, error)
}

// rangePageSize is the number of rows that ReadAll requests at a time.
const rangePageSize = 500

// ReadAll reads all rows whose keys have the prefix, in pages.
func ReadAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		page, err := t.Range(ctx, prefix, after, rangePageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < rangePageSize {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

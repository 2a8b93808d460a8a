package provider

import "context"

// Row is one row of the table as it was read.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"` // grows with each write; 0 says that there is no such row
	Txn     string `cbor:"4,keyasint"` // id of the transaction that wrote it
}

// Exists reports whether the table has the row.
func (r Row) Exists() bool { return r.Version != 0 }

// Cond demands that a row be at a version when a transaction applies. Version 0
// demands that the row be absent.
type Cond struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Write puts a row, or deletes it.
type Write struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint,omitempty"`
	Delete bool   `cbor:"3,keyasint,omitempty"`
}

// Txn is a transaction: every Cond holds and every Write is done, or nothing
// is. To be safe to send twice it must write at least one row on which it has a
// condition.
type Txn struct {
	ID     string  `cbor:"1,keyasint"`
	Conds  []Cond  `cbor:"2,keyasint"`
	Writes []Write `cbor:"3,keyasint"`
}

// Put returns t with one more conditional write of key.
func (t Txn) Put(key string, version uint64, value []byte) Txn {
	t.Conds = append(t.Conds, Cond{key, version})
	t.Writes = append(t.Writes, Write{Key: key, Value: value})
	return t
}

// Remove returns t with one more conditional deletion of key.
func (t Txn) Remove(key string, version uint64) Txn {
	t.Conds = append(t.Conds, Cond{key, version})
	t.Writes = append(t.Writes, Write{Key: key, Delete: true})
	return t
}

// Require returns t with one more condition and no write.
func (t Txn) Require(key string, version uint64) Txn {
	t.Conds = append(t.Conds, Cond{key, version})
	return t
}

// Table is the platform's transactional table service. Every method may return
// an UnavailableError, a LimitedError or an UnknownError.
type Table interface {
	// Get reads a row. An absent row is no error: its Version is 0.
	Get(ctx context.Context, key string) (Row, error)
	// Range reads at most limit rows whose keys begin with prefix and come
	// after the key after, in the order of their keys.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the version that every row it
	// wrote now has, or a ConflictError.
	Commit(ctx context.Context, t Txn) (uint64, error)
}

// rangePage is how many rows ReadAll asks for at a time.
const rangePage = 500

// ReadAll reads every row below prefix, a page at a time.
func ReadAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		page, err := t.Range(ctx, prefix, after, rangePage)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < rangePage {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

package scheduler

import (
	"chutereach/rowstore"
	"chutereach/workload"
)

const (
	// defaultRowBytes is the limit of a row's value if the configuration has none.
	defaultRowBytes = rowstore.MaxRowBytes
	// maxTransactionBytes bounds the values that a transaction writes. The store takes rowstore.MaxTransactionBytes, with
	// values in base64 and beside keys.
	maxTransactionBytes = 600 << 10
)

// rowLimits are the limits of what a transaction writes, in bytes.
type rowLimits struct {
	row         int // a row's value
	transaction int // all values
}

// filled returns the size up to which a row takes further items. The rest is for what encloses them.
func (l rowLimits) filled() int { return l.row / 4 * 3 }

// transaction is a transaction of an owner that is being put together.
type transaction struct {
	limits  rowLimits
	writes  []jobWrite
	puts    []rowstore.Put
	deletes []rowstore.Key
	bundles []*bundle   // whose deletion it contains
	orphans []string    // parts whose deletion it contains
	leases  *leaseWrite // nil: it leaves the lease bounds as they are
	bytes   int         // of the values of puts
	entries int         // puts and deletes
}

func (s *Scheduler) newTransaction() *transaction { return &transaction{limits: s.limits} }

// fits reports whether more entries with values of some bytes in all fit. The first ones always do.
func (tx *transaction) fits(entries, bytes int) bool {
	return tx.entries+entries <= maxJobEntries && (tx.bytes == 0 || tx.bytes+bytes <= tx.limits.transaction)
}

// reserve counts entries and bytes before they are added, so that nothing else takes their place. Negative numbers take that back.
func (tx *transaction) reserve(entries, bytes int) {
	tx.entries, tx.bytes = tx.entries+entries, tx.bytes+bytes
}

func (tx *transaction) put(put rowstore.Put) {
	tx.puts = append(tx.puts, put)
	tx.reserve(1, len(put.Value))
}

func (tx *transaction) remove(key rowstore.Key) {
	tx.deletes = append(tx.deletes, key)
	tx.reserve(1, 0)
}

func (tx *transaction) add(rows jobRows) {
	for _, put := range rows.puts {
		tx.put(put)
	}
	for _, key := range rows.deletes {
		tx.remove(key)
	}
}

// jobRows are the row changes of one job.
type jobRows struct {
	puts    []rowstore.Put
	deletes []rowstore.Key
	parted  bool // the last put says that the job has parts
}

func (r jobRows) bytes() int {
	size := 0
	for _, put := range r.puts {
		size += len(put.Value)
	}
	return size
}

// withoutProgress returns the changes of a parted job without its progress row, which is the last put.
func (r jobRows) withoutProgress() jobRows {
	return jobRows{puts: r.puts[:len(r.puts)-1], deletes: r.deletes}
}

// jobWrite is the state of a job that a transaction writes.
type jobWrite struct {
	job           *job
	generation    uint64 // all changes up to it are stored then
	takenAt       uint64 // generation of the state
	state         workload.State
	bundle        *bundle // nil if the job is written to rows of its own
	wasInserted   bool
	parted        bool // the row that says that the job has parts is written
	parts         []writtenPart
	obsoleteParts []string
}

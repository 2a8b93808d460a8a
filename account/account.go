package account

import (
	"crypto/sha256"
	"math"

	"chutereach/resource"
)

// Digest stands for a key. The zero Digest stands for none.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String keeps digests out of log lines and errors: one of a short key can be guessed.
func (Digest) String() string { return "(key)" }

// Quota bounds what an account has running at once. A kind of which it has 0 is not bounded;
// one of which it has less than 0 may not be used at all.
type Quota resource.Amount

// Allows reports whether an account may have n running.
func (q Quota) Allows(n resource.Amount) bool {
	return within(int64(n.CPU), int64(q.CPU)) &&
		within(int64(n.Memory), int64(q.Memory)) &&
		within(n.Accelerators, q.Accelerators)
}

func within(n, bound int64) bool { return bound == 0 || n <= bound }

// Fitting returns how many more tasks that need so much an account may start that has used
// running, at the most limit. A kind that a task does not need does not bound it.
func (q Quota) Fitting(used, need resource.Amount, limit int) int {
	count := int64(limit)
	count = min(count, fitting(int64(q.CPU), int64(used.CPU), int64(need.CPU)))
	count = min(count, fitting(int64(q.Memory), int64(used.Memory), int64(need.Memory)))
	count = min(count, fitting(q.Accelerators, used.Accelerators, need.Accelerators))
	return int(count)
}

func fitting(bound, used, need int64) int64 {
	if bound == 0 || need <= 0 {
		return math.MaxInt64
	}
	return max(0, bound-used) / need
}

// Terms are what an operator grants an account. They never change: a new configuration
// brings new ones.
type Terms struct {
	Name string `cbor:"1,keyasint,omitempty"`
	// Weight is the account's share when all is full, against the other accounts' weights.
	Weight float64 `cbor:"2,keyasint,omitempty"`
	Quota  Quota   `cbor:"3,keyasint,omitempty"`
	// Priority is told with each account. Nothing goes by it: which work goes first is
	// told by the queues' priorities.
	Priority int `cbor:"4,keyasint,omitempty"`
}

// Account is a client account of a configuration.
type Account struct {
	Terms Terms    `cbor:"1,keyasint"`
	Keys  []Digest `cbor:"2,keyasint,omitempty"`
}

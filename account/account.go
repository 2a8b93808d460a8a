package account

import (
	"crypto/sha256"
	"math"

	"chutereach/resource"
)

// Digest is the SHA-256 digest of a key. The zero Digest means that there is no key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns a placeholder, because the digest of a weak key can be reversed by guessing.
func (Digest) String() string { return "(key)" }

// Quota limits the resources that an account uses concurrently. A resource with limit 0 is
// unlimited; a resource with a negative limit must not be used.
type Quota resource.Amount

// Allows reports whether a total use of n is within the quota.
func (q Quota) Allows(n resource.Amount) bool {
	return withinLimit(int64(n.CPU), int64(q.CPU)) &&
		withinLimit(int64(n.Memory), int64(q.Memory)) &&
		withinLimit(n.Accelerators, q.Accelerators)
}

func withinLimit(n, bound int64) bool { return bound == 0 || n <= bound }

// AdditionalTasks returns the number of further tasks, at most limit, that an account may start when it
// already uses used and each task needs need. Resources that a task does not need are ignored.
func (q Quota) AdditionalTasks(used, need resource.Amount, limit int) int {
	count := int64(limit)
	count = min(count, additional(int64(q.CPU), int64(used.CPU), int64(need.CPU)))
	count = min(count, additional(int64(q.Memory), int64(used.Memory), int64(need.Memory)))
	count = min(count, additional(q.Accelerators, used.Accelerators, need.Accelerators))
	return int(count)
}

func additional(bound, used, need int64) int64 {
	if bound == 0 || need <= 0 {
		return math.MaxInt64
	}
	return max(0, bound-used) / need
}

// Terms are the name, weight, quota and priority of an account. They are immutable; a new
// configuration replaces them.
type Terms struct {
	Name string `cbor:"1,keyasint,omitempty"`
	// Weight is the account's share of scarce resources relative to the weights of the other
	// accounts.
	Weight float64 `cbor:"2,keyasint,omitempty"`
	Quota  Quota   `cbor:"3,keyasint,omitempty"`
	// Priority is part of the configuration but has no effect; the queue priority determines
	// the order of work.
	Priority int `cbor:"4,keyasint,omitempty"`
}

// Account is a client account with the digests of its keys.
type Account struct {
	Terms Terms    `cbor:"1,keyasint"`
	Keys  []Digest `cbor:"2,keyasint,omitempty"`
}

package overload

import (
	"time"

	"chutereach/resource"
)

// Work is an amount of work in seconds of the whole capacity of a service.
type Work float64

// maxWork bounds the work of one step or job in sums and means. Callers' estimates may be wrong by any
// factor, and one of them must not determine a sum or mean for long.
const maxWork Work = 20

// Bounded returns the work limited to the range that counts in sums and means.
func (w Work) Bounded() Work { return min(max(0, w), maxWork) }

// WorkOf returns the work of a number of tasks, each of which needs an amount of a service's total
// capacity for the estimated time. Tasks without a positive estimate count as no work.
func WorkOf(tasks int, need, capacity resource.Amount, estimate time.Duration) Work {
	if tasks <= 0 || estimate <= 0 {
		return 0
	}
	return Work(float64(tasks) * dominantShare(need, capacity) * estimate.Seconds())
}

// dominantShare returns the larger share of the capacity that an amount has of CPU and memory. It
// ignores what the capacity has nothing of: no task that needs it can be placed.
func dominantShare(amount, capacity resource.Amount) float64 {
	return max(
		share(float64(amount.CPU), float64(capacity.CPU)),
		share(float64(amount.Memory), float64(capacity.Memory)),
	)
}

func share(part, total float64) float64 {
	if part <= 0 || total <= 0 {
		return 0
	}
	return part / total
}

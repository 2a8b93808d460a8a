package overload

import "chutereach/resource"

// arrivalWeight is the weight of the newest arrival in a queue's mean size.
const arrivalWeight = 0.02

// Size is the size of a job in milliseconds of one core. Unlike Work it does not change with the
// number of workers.
type Size float64

// SizeOf converts work on a service of some capacity to a size. Tasks that need more memory than CPU,
// relative to the capacity, count as if they needed the same share of the CPU.
func SizeOf(work Work, capacity resource.Amount) Size {
	return Size(float64(work.Bounded()) * float64(capacity.CPU))
}

// MeanSize is the moving average of the sizes of a queue's jobs. Sizes are compared relative to it,
// because jobs of different queues serve different callers and differ in size. The zero MeanSize has seen
// no arrivals.
type MeanSize struct {
	size  Size
	count int // arrivals averaged
}

// WithArrival returns the mean after a job has arrived. A job of unknown size changes nothing.
func (m MeanSize) WithArrival(size Size) MeanSize {
	if !(size > 0) {
		return m
	}
	m.count++
	// The first arrivals have equal weights. Otherwise the mean would stay close to the first one for
	// long, since later arrivals have little weight.
	m.size += (size - m.size) * Size(max(arrivalWeight, 1/float64(m.count)))
	return m
}

// Relative returns a size divided by the mean, or 1 if either is unknown.
func (m MeanSize) Relative(size Size) float64 {
	if m.count == 0 || !(size > 0) {
		return 1
	}
	return float64(size / m.size)
}

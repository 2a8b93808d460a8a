package sizeclass

import "slices"

// Class is the class of a job by its size.
type Class int

const (
	Unknown Class = iota // the size is unknown, or there are too few jobs to compare with
	Usual
	Large   // in the fifth below the largest tenth
	Largest // in the largest tenth
)

var names = map[Class]string{Unknown: "unknown", Usual: "usual", Large: "large", Largest: "largest"}

func (c Class) String() string { return names[c] }

const (
	// window is the maximum number of recent jobs that a job is compared with, and minJobs the minimum.
	window  = 200
	minJobs = 20
	// A job is in a class if at most this share of the recent jobs is at least as large.
	largestShare = 0.1
	largeShare   = 0.3
)

// Distribution holds the sizes of the recent jobs of a queue. The zero Distribution is empty.
type Distribution struct{ recent []float64 } // oldest first

// WithArrival returns the distribution after a job has arrived. A job of unknown size changes nothing.
func (d Distribution) WithArrival(size float64) Distribution {
	if !(size > 0) {
		return d
	}
	d.recent = append(slices.Clone(d.recent[max(0, len(d.recent)-window+1):]), size)
	return d
}

// ClassOf returns the class of a job of the given size.
func (d Distribution) ClassOf(size float64) Class {
	if len(d.recent) < minJobs || !(size > 0) {
		return Unknown
	}
	atLeast := 0
	for _, other := range d.recent {
		if other >= size {
			atLeast++
		}
	}
	switch share := float64(atLeast) / float64(len(d.recent)); {
	case share <= largestShare:
		return Largest
	case share <= largeShare:
		return Large
	}
	return Usual
}

package sizeclass_test

import (
	"math"
	"testing"

	"chutereach/sizeclass"
)

func assertClass(t *testing.T, d sizeclass.Distribution, size float64, want sizeclass.Class) {
	t.Helper()
	if got := d.ClassOf(size); got != want {
		t.Errorf("a job of size %v is %v, want %v", size, got, want)
	}
}

func TestClassOf(t *testing.T) {
	var d sizeclass.Distribution
	for i := range 19 {
		d = d.WithArrival(float64(i))
	}
	assertClass(t, d, 100, sizeclass.Unknown)
	for i := range 1000 {
		d = d.WithArrival(float64(1 + i%100))
	}
	for size, want := range map[float64]sizeclass.Class{
		1000: sizeclass.Largest, 91: sizeclass.Largest, 90: sizeclass.Large, 71: sizeclass.Large, 70: sizeclass.Usual, 1: sizeclass.Usual,
		0: sizeclass.Unknown, math.NaN(): sizeclass.Unknown,
	} {
		assertClass(t, d, size, want)
	}
	t.Run("earlier jobs do not count", func(t *testing.T) {
		later := d
		for range 200 {
			later = later.WithArrival(10)
		}
		assertClass(t, later, 11, sizeclass.Largest)
		assertClass(t, later, 10, sizeclass.Usual)
		assertClass(t, d, 11, sizeclass.Usual)
	})
}

package histogram_test

import (
	"encoding/json"
	"testing"
	"time"

	"chutereach/histogram"
)

func assertShows(t *testing.T, times *histogram.Times, name string, want float64) {
	t.Helper()
	var shown map[string]float64
	if err := json.Unmarshal([]byte(times.String()), &shown); err != nil {
		t.Fatal(err)
	}
	if got := shown[name]; got < 0.98*want || got > 1.02*want {
		t.Errorf("%s is %v, want %v", name, got, want)
	}
}

func TestTimesAreShownInMilliseconds(t *testing.T) {
	times := histogram.New()
	for range 99 {
		times.Record(20 * time.Millisecond)
	}
	times.Record(time.Hour)
	assertShows(t, times, "count", 100)
	assertShows(t, times, "p50", 20)
	assertShows(t, times, "max", 10*60*1000)
}

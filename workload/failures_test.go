package workload_test

import (
	"slices"
	"testing"

	"chutereach/codec"
	"chutereach/workload"
)

// Guards against counting an attempt twice.
func TestFailedAttemptsCountOnce(t *testing.T) {
	first := workload.FailedAttempts(nil).With(3)
	if got := first.With(1).With(3).With(1); !slices.Equal(got, []int{1, 3}) {
		t.Errorf("attempts 3, 1, 3, 1 failed: got %v, want [1 3]", got)
	}
	if !slices.Equal(first, []int{3}) {
		t.Errorf("With() changed its receiver to %v, want [3]", first)
	}
	if !first.Contains(3) || first.Contains(1) {
		t.Errorf("%v contains 3: %v, and 1: %v; want only 3", first, first.Contains(3), first.Contains(1))
	}
}

// Guards against losing or inventing failures in an upgrade, when rows hold only a count.
func TestFailedAttemptsOfEarlierBuilds(t *testing.T) {
	cases := []struct {
		name             string
		listed           workload.FailedAttempts
		count, lastEnded int
		want             []int
	}{
		{"none", nil, 0, 4, nil},
		{"only a count", nil, 2, 4, []int{3, 4}},
		{"complete list", workload.FailedAttempts{1, 2}, 2, 4, []int{1, 2}},
		{"counted by an earlier build after a later one", workload.FailedAttempts{4}, 2, 4, []int{3, 4}},
		{"several members of a gang counted in its only attempt", nil, 3, 1, []int{1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := test.listed.WithCount(test.count, test.lastEnded); !slices.Equal(got, test.want) {
				t.Errorf("WithCount(%d, %d) = %v, want %v", test.count, test.lastEnded, got, test.want)
			}
		})
	}
}

// Guards against rows that earlier builds cannot read during an upgrade.
func TestEarlierBuildReadsFailures(t *testing.T) {
	row := codec.MustMarshal(workload.TaskProgress{Index: 3, Attempt: 4, Failures: 2, FailedAttempts: workload.FailedAttempts{1, 4}})
	var earlier struct {
		Index    int `cbor:"1,keyasint"`
		Attempt  int `cbor:"2,keyasint,omitempty"`
		Failures int `cbor:"3,keyasint,omitempty"`
	}
	if err := codec.Unmarshal(row, &earlier); err != nil || earlier.Index != 3 || earlier.Attempt != 4 || earlier.Failures != 2 {
		t.Errorf("an earlier build reads %+v, %v, want index 3, attempt 4 and 2 failures", earlier, err)
	}
}

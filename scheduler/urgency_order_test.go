package scheduler

import (
	"slices"
	"testing"
	"time"

	"chutereach/urgency"
	"chutereach/workload"
)

// An account's fair share goes to its most urgent jobs, whether or not they arrived
// over the share. Otherwise an account's small jobs could starve its gang.
func TestSortByUrgencyWithinAccount(t *testing.T) {
	busy, other := &accountState{}, &accountState{}
	now := time.Unix(1000, 0)
	record := workload.Record{Queue: workload.Queue{Priority: 1}}
	newCandidate := func(id string, a *accountState, latest int, overShare bool) candidate {
		return candidate{
			step:    &step{job: &job{id: id, account: a, overShare: overShare, record: record}},
			urgency: urgency.Assessment{Rank: urgency.InTime, LatestStart: now.Add(time.Duration(latest) * time.Second), OverShare: overShare},
		}
	}
	cases := []struct {
		name string
		list []candidate
		want []string
	}{
		{"jobs of one account are ordered by urgency", []candidate{
			newCandidate("small", busy, 50, false),
			newCandidate("gang", busy, 2, true),
			newCandidate("small-2", busy, 51, true),
		}, []string{"gang", "small", "small-2"}},
		{"other accounts precede jobs over the share", []candidate{
			newCandidate("small", busy, 50, false),
			newCandidate("gang", busy, 2, true),
			newCandidate("small-2", busy, 20, true),
			newCandidate("theirs", other, 30, false),
		}, []string{"gang", "theirs", "small-2", "small"}},
		{"all jobs of an account are over its share", []candidate{
			newCandidate("gang", busy, 2, true), newCandidate("small", busy, 5, true), newCandidate("theirs", other, 30, false),
		}, []string{"theirs", "gang", "small"}},
		{"no job is over its account's share", []candidate{
			newCandidate("a", busy, 5, false), newCandidate("b", other, 4, false), newCandidate("c", busy, 3, false),
		}, []string{"c", "b", "a"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			sortByUrgency(test.list)
			var got []string
			for _, c := range test.list {
				got = append(got, c.step.job.id)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("order %v, want %v", got, test.want)
			}
		})
	}
}

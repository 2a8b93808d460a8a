package scheduler

import (
	"slices"
	"testing"
	"time"

	"chutereach/urgency"
	"chutereach/workload"
)

// What an account is owed goes to its own most urgent work: a job that came on top of it, and
// must begin sooner than one that did not, is not put behind that one. Otherwise a gang is
// starved by its own account's small jobs.
func TestWhatIsOwedGoesToTheMostUrgentWork(t *testing.T) {
	busy, other := &accountState{}, &accountState{}
	now := time.Unix(1000, 0)
	claims := workload.Record{Queue: workload.Queue{Priority: 1}}
	of := func(id string, a *accountState, latest int, beyond bool) candidate {
		return candidate{
			step:    &step{job: &job{id: id, account: a, beyond: beyond, record: claims}},
			urgency: urgency.Verdict{Rank: urgency.InTime, Latest: now.Add(time.Duration(latest) * time.Second), Beyond: beyond},
		}
	}
	cases := []struct {
		name string
		list []candidate
		want []string
	}{
		{"an account's own work goes by its urgency", []candidate{
			of("small", busy, 50, false), of("gang", busy, 2, true), of("small-2", busy, 51, true),
		}, []string{"gang", "small", "small-2"}},
		{"others go before what comes on top", []candidate{
			of("small", busy, 50, false), of("gang", busy, 2, true), of("small-2", busy, 20, true), of("theirs", other, 30, false),
		}, []string{"gang", "theirs", "small-2", "small"}},
		{"all of it comes on top", []candidate{
			of("gang", busy, 2, true), of("small", busy, 5, true), of("theirs", other, 30, false),
		}, []string{"theirs", "gang", "small"}},
		{"none does", []candidate{
			of("a", busy, 5, false), of("b", other, 4, false), of("c", busy, 3, false),
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

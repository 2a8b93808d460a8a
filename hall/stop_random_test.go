package hall

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chutereach/job"
	"chutereach/proptest"
)

// stopAnswer is the result of a call of Unit.StopJob.
type stopAnswer struct {
	id  job.ID
	err error
}

// Guards against stops that are denied although their job is stored, or answered without an error and then lost,
// under random sequences of submissions, faults and changes of owner.
func TestStopsUnderRandomOperations(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		indexes := rapid.SliceOfN(rapid.IntRange(0, len(actions)-1), 1, 25).Draw(r, "actions")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 5_000), 25, 25).Draw(r, "pauses in ms")
		stops := rapid.SliceOfN(rapid.Bool(), 25, 25).Draw(r, "stops")
		synctest.Test(t, func(t *testing.T) {
			b := newTestBench(t, 3)
			defer b.close()
			b.startOwner()
			ids := map[job.ID]string{b.submit("once", 4): "once"}
			answers, calls := make(chan stopAnswer), 0
			for i, index := range indexes {
				actions[index].do(b, ids)
				if stops[i] {
					calls += b.stopAll(ids, answers)
				}
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
			b.table.Faults.Clear()
			b.fleet.Faults.Clear()
			u := b.startOwner()
			stopped := map[job.ID]bool{}
			for range calls {
				a := <-answers
				if errors.As(a.err, new(*JobNotFoundError)) {
					t.Errorf("template %s, job %s: %v", ids[a.id], a.id, a.err)
				}
				stopped[a.id] = stopped[a.id] || a.err == nil
			}
			time.Sleep(10 * time.Minute)
			b.checkInvariants()
			for id := range stopped {
				s, found := u.Job(id)
				unfinished := s.Counts[job.Waiting] + s.Counts[job.Running]
				if stopped[id] && (!found || !s.Job.Stopped || unfinished > 0) {
					t.Errorf("template %s, job %s: stopped: %t, tasks by state: %s, want none waiting or running",
						ids[id], id, s.Job.Stopped, b.taskCounts(u, id))
				}
			}
		})
	})
}

// stopAll calls StopJob of the last owner for every job, sends the results to answers, and returns their number.
func (b *testBench) stopAll(ids map[job.ID]string, answers chan<- stopAnswer) (calls int) {
	const timeout = 30 * time.Second
	u := b.lastOwner()
	for id := range ids {
		go func() {
			ctx, cancel := context.WithTimeout(b.t.Context(), timeout)
			defer cancel()
			answers <- stopAnswer{id, u.StopJob(ctx, id)}
		}()
	}
	return len(ids)
}

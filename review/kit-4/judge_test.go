package cases

import "sync"

// judge counts what runs, as workers see it.
type judge struct {
	mu   sync.Mutex
	live map[*run]bool
}

func newJudge() *judge { return &judge{live: map[*run]bool{}} }

func (j *judge) started(r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.live[r] = true
}

func (j *judge) ended(r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.live, r)
}

// running returns how many tasks of a job run now.
func (j *judge) running(job string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for r := range j.live {
		if jobOf(r.task) == job {
			count++
		}
	}
	return count
}

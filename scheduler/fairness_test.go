package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"chutereach/account"
	"chutereach/resource"
	"chutereach/workload"
)

// fairnessLoad submits lookups and statements for several accounts, one of which far exceeds its
// share.
type fairnessLoad struct {
	*accountCell
	random  *rand.Rand
	jobs    int
	pending sync.WaitGroup

	tally // by account group, see groupOf
}

const (
	loadAccounts = 6
	// accountWeight is the share of each account in jobs per second. Accounts submit half of it,
	// the busy one busyFactor times as much.
	accountWeight = 8.0
	normalRate    = accountWeight / 2
	busyFactor    = 12
	busyAccount   = "account-0"
	loadWorkers   = 16
)

// runFairnessLoad generates the load for a time span. With takeover, the owner is replaced halfway.
func runFairnessLoad(t *testing.T, seed uint64, span time.Duration, takeover bool) (m *fairnessLoad) {
	t.Helper()
	withCell(t, 0, func(c *cell) {
		c.addLargeWorkers(loadWorkers)
		c.lease = shortLease
		var terms []account.Terms
		for i := range loadAccounts {
			terms = append(terms, account.Terms{Name: fmt.Sprintf("account-%d", i), Weight: accountWeight})
		}
		m = &fairnessLoad{accountCell: c.withAccounts(terms...), random: rand.New(rand.NewPCG(seed, 5))}
		time.Sleep(time.Second)
		for start := time.Now(); time.Since(start) < span; time.Sleep(20 * time.Millisecond) {
			if takeover && time.Since(start) > span/2 {
				takeover = false
				m.replaceOwner()
			}
			m.submitArrivals()
		}
		m.pending.Wait()
	})
	return m
}

// submitArrivals submits the jobs that arrive within 20 ms.
func (m *fairnessLoad) submitArrivals() {
	for i := range loadAccounts {
		name, rate := fmt.Sprintf("account-%d", i), normalRate
		if name == busyAccount {
			rate *= busyFactor
		}
		for ; m.random.Float64() < 0.02*rate; rate = 0 {
			m.submitJob(name)
		}
	}
}

func (m *fairnessLoad) submitJob(name string) {
	queue, count, estimate := lookups, 1+m.random.IntN(4), 640*time.Millisecond
	if m.random.Float64() < 0.05 {
		queue, count, estimate = statements, 4+m.random.IntN(12), 3400*time.Millisecond
	}
	work := time.Duration((0.5 + m.random.Float64()) * float64(estimate))
	request := workload.Request{Spec: "s", Steps: []workload.Step{{
		Count: count, Need: resource.Amount{CPU: 5_000, Memory: 14 * gigabyte}, Estimate: work,
	}}}
	m.jobs++
	id := fmt.Sprintf("job-%04d", m.jobs)
	submittedAt, objective := time.Now(), time.Duration(queue.ObjectiveFactor*float64(work))+queue.ObjectiveOffset
	m.pending.Go(func() {
		if err := m.submit(name, id, queue, request, work); err != nil {
			m.record(groupOf(name), false)
			return
		}
		m.awaitFinal(name, id, time.Minute)
		m.record(groupOf(name), time.Since(submittedAt) <= objective)
	})
}

// groupOf returns the group under which an account's jobs are counted.
func groupOf(name string) string {
	if name == busyAccount {
		return "busy"
	}
	return "others"
}

// An account that submits many times its usual load does not delay the jobs of other accounts,
// and still uses the spare capacity.
func TestFairnessWithOneBusyAccount(t *testing.T) {
	t.Parallel()
	const (
		minOthers = 0.97
		minBusy   = 0.7
	)
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeover), func(t *testing.T) {
			m := runFairnessLoad(t, 1, 15*time.Second, takeover)
			if r := m.results["others"]; r.onTimeShare() < minOthers {
				t.Errorf("%d of %d jobs of the other accounts were on time, want a share of at least %v", r.inTime, r.jobs, minOthers)
			}
			if r := m.results["busy"]; r.onTimeShare() < minBusy {
				t.Errorf("%d of %d jobs of the busy account were on time, want a share of at least %v", r.inTime, r.jobs, minBusy)
			}
		})
	}
}

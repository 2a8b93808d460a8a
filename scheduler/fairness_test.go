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

// market is a load of several accounts that send lookups and statements, one of them far more
// than it is owed.
type market struct {
	*accounts
	random  *rand.Rand
	jobs    int
	waiting sync.WaitGroup

	tally // of the busy account and of the others
}

const (
	marketAccounts = 6
	// marketWeight is what each account is owed, in jobs a second; it sends half of it, and
	// the busy one twelve times its usual.
	marketWeight  = 8.0
	usualPerS     = marketWeight / 2
	busyTimes     = 12
	busyAccount   = "account-0"
	marketWorkers = 16
)

// playMarket plays the load for a while. The first owner is replaced halfway if takeover is true.
func playMarket(t *testing.T, seed uint64, span time.Duration, takeover bool) (m *market) {
	t.Helper()
	inCell(t, 0, func(c *cell) {
		c.addLarge(marketWorkers)
		c.lease = shortLease
		var terms []account.Terms
		for i := range marketAccounts {
			terms = append(terms, account.Terms{Name: fmt.Sprintf("account-%d", i), Weight: marketWeight})
		}
		m = &market{accounts: c.accounts(terms...), random: rand.New(rand.NewPCG(seed, 5))}
		time.Sleep(time.Second)
		for begun := time.Now(); time.Since(begun) < span; time.Sleep(20 * time.Millisecond) {
			if takeover && time.Since(begun) > span/2 {
				takeover = false
				m.succeed()
			}
			m.arrive()
		}
		m.waiting.Wait()
	})
	return m
}

// arrive hands in what comes in 20 ms.
func (m *market) arrive() {
	for i := range marketAccounts {
		name, rate := fmt.Sprintf("account-%d", i), usualPerS
		if name == busyAccount {
			rate *= busyTimes
		}
		for ; m.random.Float64() < 0.02*rate; rate = 0 {
			m.hand(name)
		}
	}
}

func (m *market) hand(name string) {
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
	came, objective := time.Now(), time.Duration(queue.Stretch*float64(work))+queue.Target
	m.waiting.Go(func() {
		if err := m.submit(name, id, queue, request, work); err != nil {
			m.note(groupOf(name), false)
			return
		}
		m.awaitFinal(name, id, time.Minute)
		m.note(groupOf(name), time.Since(came) <= objective)
	})
}

// groupOf returns as whose an account's jobs are counted.
func groupOf(name string) string {
	if name == busyAccount {
		return "busy"
	}
	return "others"
}

// One account sends twelve times its usual: the others are served in time, and the busy one as
// much as there is room for.
func TestOneAccountSendsManyTimesItsUsual(t *testing.T) {
	const (
		leastOthers = 0.97 // 0.76 where work is ordered by when it must begin alone
		leastBusy   = 0.7  // 0.77 in either order
	)
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeover), func(t *testing.T) {
			m := playMarket(t, 1, 15*time.Second, takeover)
			if r := m.results["others"]; r.share() < leastOthers {
				t.Errorf("%d of %d jobs of the other accounts were in time", r.inTime, r.jobs)
			}
			if r := m.results["busy"]; r.share() < leastBusy {
				t.Errorf("%d of %d jobs of the busy account were in time", r.inTime, r.jobs)
			}
		})
	}
}

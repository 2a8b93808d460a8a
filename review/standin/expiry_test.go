package standin

import (
	"os"
	"strings"
	"sync"
	"time"
)

// Figures of the case "expiry".
const (
	firstJobs    = 200 // handed in before the pause
	firstRate    = 50  // a second
	pause        = 5 * time.Minute
	usualRate    = 56 // jobs a second, as on the sheet of emsm-puntos
	usualTime    = 52 * time.Second
	afterKill    = 5 * time.Second // of traffic
	checkedEvery = 400             // one job in so many is asked for at the end
	// Without the pause, the jobs of the first minutes expire by themselves. LONG=1 plays that, with one burst.
	longTime  = 200 * time.Second
	burstRate = 100
)

// lookup is a job like those of consulta-saldo: two tasks of 640 ms, with a spec of 300 bytes.
func lookup() job {
	return job{Spec: "work=640 " + strings.Repeat("x", 291), Phases: []phase{{Count: 2, CPU: 1400, MemMB: 5200, EstimateMS: 640}}}
}

// traffic hands in lookups at a rate, from a number on, and returns the next number.
func (b *bed) traffic(jobs *sync.WaitGroup, from, rate int, during time.Duration) int {
	begun := time.Now()
	i := from
	for ; time.Since(begun) < during; i++ {
		k := i
		jobs.Go(func() { b.hand(otherPrefix, jobID(3, k), lookup(), k) })
		time.Sleep(time.Until(begun.Add(time.Duration(i+1-from) * time.Second / time.Duration(rate))))
	}
	tables, size := b.store.shardRows()
	b.record.line("%d jobs handed in; rows of the shard %v, %d bytes", i, tables, size)
	return i
}

// expiry has the usual traffic after more than 60 final jobs have expired at once, and then kills the owner.
func expiry(b *bed) int {
	if !b.works() {
		return exitNotRun
	}
	var jobs sync.WaitGroup
	next := 0
	if os.Getenv("LONG") == "" {
		next = b.traffic(&jobs, next, firstRate, firstJobs*time.Second/firstRate)
		jobs.Wait()
		time.Sleep(2 * time.Second)
		if err := b.pauseSystem(pause); err != nil {
			b.record.line("the system does not start again: %v", err)
			return exitNotRun
		}
		b.handed = nil // these have expired
		next = b.traffic(&jobs, next, usualRate, usualTime)
	} else {
		next = b.traffic(&jobs, next, burstRate, 4*time.Second)
		next = b.traffic(&jobs, next, usualRate, longTime)
	}
	if b.trouble {
		b.killOwner()
	}
	b.traffic(&jobs, next, usualRate, afterKill)
	time.Sleep(finishTime)
	return b.judgeSome(checkedEvery)
}

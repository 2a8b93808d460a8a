package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of a small deployment.
const (
	finishTime = 14 * time.Second // finish_s
	idleLimit  = 3 * time.Second  // of the rule LOST
	ackTimeout = 4 * time.Second  // ackTimeoutMs
)

func jobID(kind, number int) string {
	return fmt.Sprintf("5c0e7a2%01x%08x", kind, 0x1d94b36f+uint32(number)*2654435761)
}

// smallJob has two steps of two tasks, of 2 s and 300 ms.
func smallJob() job {
	return job{Spec: "work=2000,300 ", Phases: []phase{
		{Count: 2, CPU: 500, MemMB: 64, EstimateMS: 2000}, {Count: 2, CPU: 500, MemMB: 64, EstimateMS: 300, DependsOn: []int{0}},
	}}
}

// tasks returns the number of a job's tasks.
func (j job) tasks() int {
	count := 0
	for _, p := range j.Phases {
		count += p.Count
	}
	return max(1, j.Repeat) * count
}

// handed is a job that was handed in.
type handed struct {
	queue, id string
	accepted  bool
	cancelled bool // and that was acknowledged
	job       job
}

// hand hands a job in and notes whether it was accepted.
func (b *bed) hand(queue, id string, j job, first int) *handed {
	h := &handed{queue: queue, id: id, job: j}
	if h.accepted = b.submit(queue, id, j, first); h.accepted {
		b.audit.accepted(id, j.tasks())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handed = append(b.handed, h)
	return h
}

// works hands in a few small jobs and reports whether they are done in time.
func (b *bed) works() bool {
	for i := range 3 {
		b.hand(otherPrefix, jobID(1, i), smallJob(), i)
	}
	time.Sleep(4 * time.Second)
	for i, h := range b.handed {
		if state := b.state(h.queue, h.id, i); state != "completed" {
			b.record.line("the deployment does not work: %s is %q", h.id, state)
			return false
		}
	}
	return true
}

// cancel cancels a job, with retries until ackTimeout. It reports whether that was acknowledged.
func (b *bed) cancel(h *handed, first int) bool {
	until := time.Now().Add(ackTimeout)
	for try := 0; time.Now().Before(until); try++ {
		status, _ := b.call(b.nodes[(first+try)%len(b.nodes)], http.MethodDelete, h.queue+h.id, nil)
		if status/100 == 2 || status == http.StatusGone {
			h.cancelled = true
			b.audit.cancelled(h.id)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// judge asks for the state of every job and records what was run of it. It returns how many accepted jobs are lost: they
// are unknown, have no answer, or had nothing running for idleLimit although a task's turn had come.
func (b *bed) judge() (lost int) {
	accepted := 0
	states := make([]string, len(b.handed))
	var asked sync.WaitGroup
	for i, h := range b.handed {
		if h.accepted {
			asked.Go(func() { states[i] = b.state(h.queue, h.id, i) })
		}
	}
	asked.Wait()
	for i, h := range b.handed {
		did, state := b.audit.of(h.id), states[i]
		if h.accepted {
			accepted++
		}
		why := ""
		switch {
		case !h.accepted:
		case state == "" || state == "unknown (410)":
			why = "LOST: no state"
		case did.idle() > idleLimit:
			why = "LOST: nothing of it ran for too long"
		}
		if why != "" {
			lost++
		}
		b.record.line("job %s accepted=%v cancelled=%v state=%q tasks=%d starts=%d ends=%v idle for %v at most %s",
			h.id, h.accepted, h.cancelled, state, h.job.tasks(), did.starts, did.ends, did.idle().Round(time.Millisecond), why)
	}
	exits, tooLarge, machines := b.counts()
	b.store.mu.Lock()
	b.record.line("store: largest value written %d bytes, transactions refused: %v", b.store.largest, b.store.refused)
	b.store.mu.Unlock()
	b.record.line("nodes ended by themselves %d times, %d of these for memory; on %d machines three times or more", exits, tooLarge, machines)
	for _, n := range b.nodes {
		n.mu.Lock()
		b.record.line("%s had at most %d MB resident", n.name, n.peakMB)
		n.mu.Unlock()
	}
	b.record.line("of %d jobs %d were accepted, %d of these are lost", len(b.handed), accepted, lost)
	return lost
}

// judgeSome is judge for a case with many jobs: it asks for the state of one in so many, and records the lost ones.
func (b *bed) judgeSome(every int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var some []*handed
	accepted := 0
	for _, h := range b.handed {
		if !h.accepted {
			continue
		}
		if accepted%every == 0 {
			some = append(some, h)
		}
		accepted++
	}
	b.record.line("%d of %d jobs were accepted; one in %d is asked for", accepted, len(b.handed), every)
	b.handed = some
	if b.judge() > 0 {
		return exitBroken
	}
	return exitHeld
}

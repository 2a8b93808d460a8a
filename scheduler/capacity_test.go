package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chutereach/resource"
	"chutereach/rowstore/memory"
	"chutereach/workload"
)

// halfCapacity and fullCapacity are the capacities between which tests resize a worker.
var (
	halfCapacity = resource.Amount{CPU: 8_000, Memory: 32 * gigabyte}
	fullCapacity = resource.Amount{CPU: 16_000, Memory: 64 * gigabyte}
)

// A worker that shrinks while grants are being written starts no more tasks than it now has
// capacity for.
func TestWorkerShrinksDuringGrant(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		o := c.startOwner()
		time.Sleep(500 * time.Millisecond)
		o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 1100 * time.Millisecond} })
		if err := c.submitWithoutTimeout(o, "job", newRequest(2, 8_000)); err != nil {
			t.Fatal(err)
		}
		c.fleet.Resize("w-00", halfCapacity)
		time.Sleep(3 * time.Second)
		o.caller.SetFault(nil)
		c.awaitState(o, "job", workload.Completed, 20*time.Second)
	})
}

// Added capacity of a worker is used as soon as discovery reports it.
func TestWorkerGrows(t *testing.T) {
	withCell(t, 1, func(c *cell) {
		c.fleet.Resize("w-00", halfCapacity)
		o := c.startOwner()
		time.Sleep(2 * time.Second)
		if err := c.submit(o, "job", newRequest(2, 8_000), succeedAfter(5*time.Second)); err != nil {
			t.Fatal(err)
		}
		c.awaitStarts(1, time.Second)
		time.Sleep(time.Second)
		c.fleet.Resize("w-00", fullCapacity)
		c.awaitStarts(2, time.Second)
	})
}

// No start exceeds a worker's capacity under random sequences of resizes, starts, stops and
// takeovers. The fleettest package checks every start.
func TestCapacityRandomOrder(t *testing.T) {
	t.Parallel()
	const sequences = 1000
	forSeeds(t, sequences, func(t *testing.T, seed uint64) {
		withCell(t, 3, func(c *cell) { c.runRandomResizes(rand.New(rand.NewPCG(seed, 3))) })
	})
}

// forSeeds runs a test for a number of seeds, grouped into subtests.
func forSeeds(t *testing.T, seeds int, test func(*testing.T, uint64)) {
	t.Helper()
	const rounds = 20
	for round := range rounds {
		t.Run(fmt.Sprintf("round %d", round), func(t *testing.T) {
			for i := range seeds / rounds {
				test(t, uint64(round*seeds/rounds+i))
			}
		})
	}
}

func (c *cell) runRandomResizes(random *rand.Rand) {
	o := c.startOwner()
	time.Sleep(500 * time.Millisecond)
	for i := range 12 {
		switch random.IntN(6) {
		case 0, 1:
			size := []resource.Amount{halfCapacity, fullCapacity, {CPU: 4_000, Memory: 16 * gigabyte}, {CPU: 24_000, Memory: 64 * gigabyte}}[random.IntN(4)]
			c.fleet.Resize(fmt.Sprintf("w-%02d", random.IntN(3)), size)
		case 2:
			o.kill()
			o = c.startOwner()
		case 3:
			o.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Delay: 300 * time.Millisecond} })
		case 4:
			o.caller.SetFault(nil)
		}
		name := fmt.Sprintf("job-%d", i)
		request := newRequest(1+random.IntN(4), resource.MilliCPU(1000+random.IntN(7000)))
		request.Steps[0].Gang = random.IntN(4) == 0
		if err := c.submitWithoutTimeout(o, name, request); err != nil {
			c.t.Errorf("job %s: %v", name, err)
		}
		if random.IntN(4) == 0 {
			if err := o.Cancel(c.ctx, fmt.Sprintf("job-%d", random.IntN(i+1))); err != nil {
				c.t.Error(err)
			}
		}
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	}
}

// submitWithoutTimeout submits a job and waits for the store without a time limit.
func (c *cell) submitWithoutTimeout(o *owner, id string, request workload.Request) error {
	c.registerJob(id, request, succeedAfter(700*time.Millisecond))
	return o.Submit(c.ctx, id, workload.Record{Request: request, Queue: c.queue, AcceptedAt: time.Now().UnixMilli()})
}

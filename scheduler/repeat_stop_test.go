package scheduler_test

import (
	"sync/atomic"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/resource"
)

// addUnidentifiedWorker adds a worker whose incarnations share an ID and have no start time.
func (c *cell) addUnidentifiedWorker(id string) {
	c.fleet.Add(fleet.Worker{
		Incarnation: fleet.Incarnation{ID: id}, Service: testService, Address: "10.0.0.0:80", Zone: hallOf(0), Rack: "r1-0", Labels: []string{"a"},
		Capacity: resource.Amount{CPU: 16_000, Memory: 64 * gigabyte},
	})
}

// Guards against an attempt that runs on although its stop was confirmed: the worker restarts after that, and
// the next incarnation executes the start late. Nothing in its report shows that it has not received the stop,
// as its clock is ahead of that of the former incarnation.
func TestConfirmedStopIsRepeated(t *testing.T) {
	withCell(t, 0, func(c *cell) {
		c.lease = shortLease
		o := c.startOwner()
		time.Sleep(100 * time.Millisecond)
		c.addUnidentifiedWorker("w-00")
		time.Sleep(time.Second) // the worker is discovered
		var silent atomic.Bool
		c.fleet.SetFault(func(call fleettest.Call, _ string) fleettest.Fault {
			if call == fleettest.CallStart {
				return fleettest.Fault{Delay: 200 * time.Millisecond}
			}
			return fleettest.Fault{RequestLost: call == fleettest.CallHold && silent.Load()}
		})
		if err := c.submit(o, "job", newRequest(1, 1000), succeedAfter(time.Hour)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(60 * time.Millisecond) // the start is in flight
		silent.Store(true)
		if err := o.Cancel(c.ctx, "job"); err != nil {
			t.Fatal(err)
		}
		c.fleet.RecordCancelled("job")
		time.Sleep(20 * time.Millisecond) // the stop is confirmed
		c.fleet.RestartSameID("w-00", 20*time.Millisecond)
		time.Sleep(1800 * time.Millisecond)
		if !c.fleet.JobRunning("job") {
			t.Fatal("the next incarnation has not executed the start")
		}
		silent.Store(false)
		time.Sleep(5 * time.Second)
		c.fleet.CheckCancelled(time.Now().Add(-5 * time.Second))
	})
}

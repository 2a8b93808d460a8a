package scheduler_test

import (
	"sync/atomic"
	"testing"
	"time"

	"chutereach/fleet"
	"chutereach/fleet/fleettest"
	"chutereach/resource"
	"chutereach/workload"
)

// Discovery lists a worker for some seconds after another worker, of the same or another service,
// has taken over its address. The owner must stop calling the old worker.
func TestAddressReusedByAnotherWorker(t *testing.T) {
	for _, service := range []string{testService, "another"} {
		t.Run("of service "+service, func(t *testing.T) {
			withCell(t, 3, func(c *cell) {
				o := c.startOwner()
				time.Sleep(500 * time.Millisecond)
				if err := c.submit(o, "job", newRequest(6, 8000), succeedAfter(2*time.Second)); err != nil {
					t.Fatal(err)
				}
				c.awaitStarts(6, time.Second)
				var calls atomic.Int64
				c.fleet.SetFault(func(_ fleettest.Call, worker string) fleettest.Fault {
					if worker == "w-01" {
						calls.Add(1)
					}
					return fleettest.Fault{}
				})
				c.fleet.Replace("w-01", fleet.Worker{
					Incarnation: fleet.Incarnation{ID: "w-91"}, Service: service, Rack: "r1-0", Labels: []string{"a"},
					Capacity: resource.Amount{CPU: 16_000, Memory: 64 * gigabyte},
				})
				c.awaitState(o, "job", workload.Completed, 6*time.Second)
				if got := calls.Load(); got > 4 { // one Hold call, and orders under way
					t.Errorf("%d calls to a worker known to have ended, want 4 at most", got)
				}
			})
		})
	}
}

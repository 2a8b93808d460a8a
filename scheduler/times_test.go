package scheduler

import (
	"testing"
	"time"
)

// Preemption delays follow the configured worker times, or the defaults if none are set.
func TestWorkerTimes(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name                       string
		config                     Config
		stopped, reserved, resumed time.Duration
		remoteFactor               float64
	}{
		{"unset", Config{}, 500 * ms, 900 * ms, 2500 * ms, 1.5},
		{"typical", Config{WorkerTimes: WorkerTimes{400 * ms, 250 * ms}, RemoteFactor: 1.5}, 500 * ms, 900 * ms, 2500 * ms, 1.5},
		{"slow stops", Config{WorkerTimes: WorkerTimes{900 * ms, 250 * ms}, RemoteFactor: 3}, 1000 * ms, 1400 * ms, 3000 * ms, 3},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			w := test.config.workerTimes()
			if w.stopTime() != test.stopped || w.reservationTime() != test.reserved || w.preemptionDelay() != test.resumed {
				t.Errorf("stopped %v, reserved %v, resumed %v, want %v, %v, %v",
					w.stopTime(), w.reservationTime(), w.preemptionDelay(), test.stopped, test.reserved, test.resumed)
			}
			if got := test.config.remoteFactor(); got != test.remoteFactor {
				t.Errorf("remote factor %v, want %v", got, test.remoteFactor)
			}
		})
	}
}

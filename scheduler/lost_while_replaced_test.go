package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"chutereach/rowstore/memory"
)

const (
	// restartLimit is how long after its last run a long-running task must run again.
	restartLimit = 9 * time.Second
	// noticeTime is how long an owner takes at most to notice that a worker has gone silent.
	noticeTime = 2 * time.Second
)

// ownerReplacement is a way in which the shard gets another owner.
type ownerReplacement func(c *cell, former *owner) *owner

// killAndReplace kills the owner. The next one takes over after the time that it takes to notice that.
func killAndReplace(c *cell, former *owner) *owner {
	former.kill()
	time.Sleep(400 * time.Millisecond)
	return c.startOwner()
}

// cutOffAndReplace cuts the owner off from the store. It still reaches the workers.
func cutOffAndReplace(c *cell, former *owner) *owner {
	former.caller.SetFault(func(bool) memory.Fault { return memory.Fault{DropRequest: true} })
	time.Sleep(400 * time.Millisecond)
	return c.startOwner()
}

// Guards against a long-running task that does not run again after its worker is lost, because each new owner waits
// anew until the lease of that worker has certainly expired.
func TestLostTaskRunsAgainWhileOwnersAreReplaced(t *testing.T) {
	replacements := map[string]ownerReplacement{"killed": killAndReplace, "cut off": cutOffAndReplace}
	for _, interval := range []time.Duration{1500 * time.Millisecond, 4 * time.Second, 6500 * time.Millisecond} {
		for how, replace := range replacements {
			t.Run(fmt.Sprintf("owner %s every %v", how, interval), func(t *testing.T) {
				withLastingTask(t, func(c *cell, o *owner, host string) {
					c.assertRestartsAfterCrash(o, host, replace, interval)
				})
			})
		}
	}
}

// assertRestartsAfterCrash ends the worker of the long-running task and then replaces the owner again and again. It checks that
// the task runs again in time.
func (c *cell) assertRestartsAfterCrash(o *owner, host string, replace ownerReplacement, interval time.Duration) {
	c.t.Helper()
	c.fleet.Crash(host)
	crashedAt := time.Now()
	time.Sleep(noticeTime)
	for c.fleet.Starts() < 2 && time.Since(crashedAt) < time.Minute {
		o = replace(c, o)
		for end := time.Now().Add(interval); c.fleet.Starts() < 2 && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
	}
	if took := time.Since(crashedAt); took > restartLimit {
		c.t.Errorf("the task ran again %v after its worker was lost, want at most %v", took, restartLimit)
	}
}

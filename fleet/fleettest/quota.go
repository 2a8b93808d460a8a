package fleettest

import (
	"time"

	"chutereach/account"
	"chutereach/resource"
)

// SetQuota sets the quota of an account. A former quota still allows starts until the grace of
// SetGrace has passed.
func (f *Fleet) SetQuota(name string, quota account.Quota) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.quotas[name] {
		if f.quotas[name][i].supersededAt.IsZero() {
			f.quotas[name][i].supersededAt = time.Now()
		}
	}
	f.quotas[name] = append(f.quotas[name], quotaPeriod{quota: quota})
}

// quotaPeriod is a quota and the time when the next one replaced it, zero if none has.
type quotaPeriod struct {
	quota        account.Quota
	supersededAt time.Time
}

// checkQuota records a violation if an account exceeds its quota after a start. Attempts that
// are being stopped count, and so do those on unreachable workers.
func (f *Fleet) checkQuota(name string) {
	if len(f.quotas[name]) == 0 {
		return
	}
	used := f.usedByLocked(name)
	f.peakUsage[name] = resource.Amount{
		CPU: max(f.peakUsage[name].CPU, used.CPU), Memory: max(f.peakUsage[name].Memory, used.Memory),
		Accelerators: max(f.peakUsage[name].Accelerators, used.Accelerators),
	}
	for _, q := range f.quotas[name] {
		counts := q.supersededAt.IsZero() || time.Since(q.supersededAt) <= f.grace
		if counts && q.quota.Allows(used) {
			return
		}
	}
	f.violation("a start brings account %s to %v, over its quota", name, used)
}

// usedByLocked returns the resources in use by an account. The lock is held.
func (f *Fleet) usedByLocked(name string) resource.Amount {
	return f.sumLocked(func(r *run) bool { return f.jobs[r.task.Job].Account == name })
}

// PeakUsage returns the peak usage of each resource by an account with a quota.
func (f *Fleet) PeakUsage(name string) resource.Amount {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peakUsage[name]
}

// AccountUsage returns the resources in use by an account.
func (f *Fleet) AccountUsage(name string) resource.Amount {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usedByLocked(name)
}

// JobUsage returns the resources in use by a job.
func (f *Fleet) JobUsage(job string) resource.Amount {
	return f.sum(func(r *run) bool { return r.task.Job == job })
}

// TotalUsage returns the resources in use on all running workers.
func (f *Fleet) TotalUsage() resource.Amount { return f.sum(func(*run) bool { return true }) }

func (f *Fleet) sum(counts func(*run) bool) resource.Amount {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sumLocked(counts)
}

// sumLocked adds up the resources of the attempts that counts selects. The lock is held.
func (f *Fleet) sumLocked(counts func(*run) bool) resource.Amount {
	used := resource.Amount{}
	for _, w := range f.workers {
		if w.dead {
			continue
		}
		for _, r := range w.runs {
			if counts(r) {
				used = used.Plus(r.need)
			}
		}
	}
	return used
}

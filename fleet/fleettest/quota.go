package fleettest

import (
	"time"

	"chutereach/account"
	"chutereach/resource"
)

// SetQuota tells the judge what an account may have running. A higher one that was in force
// before counts until the grace of SetResizeGrace is over.
func (f *Fleet) SetQuota(name string, quota account.Quota) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.quotas[name] {
		if f.quotas[name][i].until.IsZero() {
			f.quotas[name][i].until = time.Now()
		}
	}
	f.quotas[name] = append(f.quotas[name], quotaInForce{quota: quota})
}

// quotaInForce is a quota and until when it was the newest; zero: it is.
type quotaInForce struct {
	quota account.Quota
	until time.Time
}

// judgeQuota looks at what an account has running after a start: what is being stopped still
// counts, and so does what runs on a worker that nobody reaches.
func (f *Fleet) judgeQuota(name string) {
	if len(f.quotas[name]) == 0 {
		return
	}
	used := f.usedBy(name)
	f.most[name] = resource.Amount{
		CPU: max(f.most[name].CPU, used.CPU), Memory: max(f.most[name].Memory, used.Memory),
		Accelerators: max(f.most[name].Accelerators, used.Accelerators),
	}
	for _, q := range f.quotas[name] {
		counts := q.until.IsZero() || time.Since(q.until) <= f.grace
		if counts && q.quota.Allows(used) {
			return
		}
	}
	f.breaks("a start brings account %s to %v, over its quota", name, used)
}

// usedBy adds up what runs of an account on all workers that are up.
func (f *Fleet) usedBy(name string) resource.Amount {
	return f.sumLocked(func(r *run) bool { return f.kinds[r.task.Job].Account == name })
}

// MostUsed returns the most that an account has had running of each kind.
func (f *Fleet) MostUsed(name string) resource.Amount {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.most[name]
}

// UsedBy returns what runs of an account.
func (f *Fleet) UsedBy(name string) resource.Amount {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usedBy(name)
}

// UsedByJob returns what runs of a job.
func (f *Fleet) UsedByJob(job string) resource.Amount {
	return f.sum(func(r *run) bool { return r.task.Job == job })
}

// Used returns what runs on all workers that are up.
func (f *Fleet) Used() resource.Amount { return f.sum(func(*run) bool { return true }) }

func (f *Fleet) sum(counts func(*run) bool) resource.Amount {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sumLocked(counts)
}

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

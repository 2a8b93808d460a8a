package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"chutereach/account"
	"chutereach/fairness"
	"chutereach/resource"
	"chutereach/workload"
)

// accountState is a client account's terms and its use of the shard's workers. Jobs without an
// account share a state whose terms set no limits.
type accountState struct {
	terms account.Terms
	// used is the resources of all attempts from their grant until they are known to be over.
	// A start counts before it is sent, and a stopped attempt until its end is reported, so
	// that a delayed order cannot take the account over its quota.
	used         resource.Amount
	placedTasks  map[*task]struct{}
	rejectedJobs int // jobs rejected because they could never fit the quota
	// meter decides which jobs are over the account's share; overShareJobs counts these.
	meter         fairness.Meter
	overShareJobs int
}

func newAccountState(terms account.Terms) *accountState {
	return &accountState{terms: terms, placedTasks: map[*task]struct{}{}}
}

func (a *accountState) addTask(t *task) {
	a.used = a.used.Plus(t.step.spec.Need)
	a.placedTasks[t] = struct{}{}
}

func (a *accountState) removeTask(t *task) {
	a.used = a.used.Minus(t.step.spec.Need)
	delete(a.placedTasks, t)
}

// overcommitted reports whether the account uses more than its quota, which may have been lowered.
// Running attempts continue, and no others start until they fit.
func (a *accountState) overcommitted() bool { return !a.terms.Quota.Allows(a.used) }

// maxStarts returns how many more of the step's tasks the account may start, up to limit.
func (a *accountState) maxStarts(st *step, limit int) int {
	return a.terms.Quota.AdditionalTasks(a.used, st.spec.Need, limit)
}

// accountOf returns the state of the account that a job was accepted under. Terms of the current
// configuration take precedence; an account that is no longer configured keeps its last terms.
func (s *Scheduler) accountOf(terms account.Terms) *accountState {
	a := s.accounts[terms.Name]
	if a == nil {
		if newer, known := s.directory.ByName(terms.Name); known {
			terms = newer
		}
		a = newAccountState(terms)
		s.accounts[terms.Name] = a
	}
	return a
}

// SetAccounts applies the client accounts of a new configuration.
func (s *Scheduler) SetAccounts(directory account.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory = directory
	for name, a := range s.accounts {
		terms, known := directory.ByName(name)
		if !known || terms == a.terms {
			continue
		}
		s.log.Info().Str("account", name).Stringer("was", resource.Amount(a.terms.Quota)).
			Stringer("is", resource.Amount(terms.Quota)).Stringer("used", a.used).Float64("weight", terms.Weight).
			Msg("account terms changed")
		a.terms = terms
	}
	wake(s.dispatchWake)
}

// AccountUsage is an account's current use of the shard.
type AccountUsage struct {
	Account string `json:"account"`
	Used    string `json:"used"`
	Quota   string `json:"quota"` // a resource with a value of 0 is not limited
	// Waiting counts the jobs of which no task has started, and Held the steps held back by
	// the quota.
	Waiting int `json:"waiting"`
	Held    int `json:"held"`
	Refused int `json:"refused_for_quota"`
	// OverShare counts the jobs over the account's share.
	OverShare int `json:"beyond_weight"`
}

// maxListedAccounts limits the accounts returned by AccountUsage.
const maxListedAccounts = 100

// AccountUsage returns the accounts with jobs in the shard, by descending dominant share.
func (s *Scheduler) AccountUsage() []AccountUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting, held := map[*accountState]int{}, map[*accountState]int{}
	for _, j := range s.active {
		if !j.started {
			waiting[j.account]++
		}
		held[j.account] += j.heldSteps()
	}
	states := slices.Collect(maps.Values(s.accounts))
	slices.SortFunc(states, func(a, b *accountState) int {
		return cmp.Or(cmp.Compare(b.dominantShare(), a.dominantShare()), cmp.Compare(a.terms.Name, b.terms.Name))
	})
	var list []AccountUsage
	for _, a := range states[:min(len(states), maxListedAccounts)] {
		list = append(list, AccountUsage{
			Account: a.terms.Name, Used: a.used.String(), Quota: resource.Amount(a.terms.Quota).String(),
			Waiting: waiting[a], Held: held[a], Refused: a.rejectedJobs, OverShare: a.overShareJobs,
		})
	}
	return list
}

func (j *job) heldSteps() int {
	count := 0
	for _, r := range j.rounds {
		for _, st := range r.steps {
			if !st.quotaHeldSince.IsZero() && !st.done() {
				count++
			}
		}
	}
	return count
}

// removeIdleAccounts removes accounts without jobs and placed tasks. The caller holds the lock.
func (s *Scheduler) removeIdleAccounts() {
	inUse := make(map[*accountState]bool, len(s.accounts))
	for _, j := range s.jobs {
		inUse[j.account] = true
	}
	maps.DeleteFunc(s.accounts, func(_ string, a *accountState) bool { return !inUse[a] && len(a.placedTasks) == 0 })
}

// QuotaError reports a job that was rejected because a part of it can never run within its
// account's quota.
type QuotaError struct{ Why string }

func (e *QuotaError) Error() string { return "not taken: " + e.Why }

// checkQuota returns a QuotaError if a gang or a single task of the request needs more than the
// account's whole quota: it would wait until the quota is raised.
func checkQuota(request workload.Request, terms account.Terms) error {
	for i, step := range request.Steps {
		concurrent := 1
		if step.Gang {
			concurrent = step.Count
		}
		if terms.Quota.AdditionalTasks(resource.Amount{}, step.Need, concurrent) < concurrent {
			return &QuotaError{fmt.Sprintf("step %d needs %v at once, and account %s may have %v",
				i, step.Need.Times(int64(concurrent)), terms.Name, resource.Amount(terms.Quota))}
		}
	}
	return nil
}

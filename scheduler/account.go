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

// accountState is what an owner knows of a client account: on which terms it is, and what it
// has of the shard's workers. Jobs without an account share one whose terms bound nothing.
type accountState struct {
	terms account.Terms
	// used is what all its attempts take, from their grant until it is certain that they are
	// over. A start counts against the quota from before it is sent, and a stop until its end
	// is listed, so that no order that is carried out late can bring the account over it.
	used    resource.Amount
	hosted  map[*task]struct{}
	refused int // jobs that could never fit its quota
	// meter tells which of its jobs come on top of what it is owed; beyond counts these.
	meter  fairness.Meter
	beyond int
}

func newAccountState(terms account.Terms) *accountState {
	return &accountState{terms: terms, hosted: map[*task]struct{}{}}
}

func (a *accountState) host(t *task) {
	a.used = a.used.Plus(t.step.spec.Need)
	a.hosted[t] = struct{}{}
}

func (a *accountState) release(t *task) {
	a.used = a.used.Minus(t.step.spec.Need)
	delete(a.hosted, t)
}

// fitting returns how many more of the step's tasks its account may start, at most limit.
func (a *accountState) fitting(st *step, limit int) int {
	return a.terms.Quota.Fitting(a.used, st.spec.Need, limit)
}

// accountOf returns the state of the account on whose terms a job was accepted. Newer terms
// go first; those of an account that is gone hold on.
func (s *Scheduler) accountOf(terms account.Terms) *accountState {
	a := s.accounts[terms.Name]
	if a == nil {
		if newer, known := s.directory.Named(terms.Name); known {
			terms = newer
		}
		a = newAccountState(terms)
		s.accounts[terms.Name] = a
	}
	return a
}

// SetAccounts tells the client accounts of the newest configuration.
func (s *Scheduler) SetAccounts(directory account.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory = directory
	for name, a := range s.accounts {
		terms, known := directory.Named(name)
		if !known || terms == a.terms {
			continue
		}
		s.log.Info().Str("account", name).Stringer("was", resource.Amount(a.terms.Quota)).
			Stringer("is", resource.Amount(terms.Quota)).Stringer("used", a.used).Float64("weight", terms.Weight).
			Msg("account has other terms")
		a.terms = terms
	}
	wake(s.dispatchWake)
}

// AccountUsage is what an account has of the shard at a moment.
type AccountUsage struct {
	Account string `json:"account"`
	Used    string `json:"used"`
	Quota   string `json:"quota"` // a kind of which it has 0 is not bounded
	// Waiting are its jobs of which nothing has begun, and Held its steps that the quota
	// holds back now.
	Waiting int `json:"waiting"`
	Held    int `json:"held"`
	Refused int `json:"refused_for_quota"`
	// Beyond are jobs that came on top of what its weight comes to.
	Beyond int `json:"beyond_weight"`
}

// mostAccounts bounds the accounts that are shown.
const mostAccounts = 100

// AccountUsage returns the accounts that have jobs here, those with the most in use of their
// quotas first.
func (s *Scheduler) AccountUsage() []AccountUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting, held := map[*accountState]int{}, map[*accountState]int{}
	for _, j := range s.active {
		if !j.begun {
			waiting[j.account]++
		}
		held[j.account] += j.heldSteps()
	}
	states := slices.Collect(maps.Values(s.accounts))
	slices.SortFunc(states, func(a, b *accountState) int {
		return cmp.Or(cmp.Compare(b.dominant(), a.dominant()), cmp.Compare(a.terms.Name, b.terms.Name))
	})
	var list []AccountUsage
	for _, a := range states[:min(len(states), mostAccounts)] {
		list = append(list, AccountUsage{
			Account: a.terms.Name, Used: a.used.String(), Quota: resource.Amount(a.terms.Quota).String(),
			Waiting: waiting[a], Held: held[a], Refused: a.refused, Beyond: a.beyond,
		})
	}
	return list
}

func (j *job) heldSteps() int {
	count := 0
	for _, r := range j.rounds {
		for _, st := range r.steps {
			if !st.heldAt.IsZero() && !st.done() {
				count++
			}
		}
	}
	return count
}

// forgetAccounts drops the accounts of which nothing is left. The lock is held.
func (s *Scheduler) forgetAccounts() {
	busy := make(map[*accountState]bool, len(s.accounts))
	for _, j := range s.jobs {
		busy[j.account] = true
	}
	maps.DeleteFunc(s.accounts, func(_ string, a *accountState) bool { return !busy[a] && len(a.hosted) == 0 })
}

// QuotaError says that a job was not taken, for a part of it could never run within its
// account's quota.
type QuotaError struct{ Why string }

func (e *QuotaError) Error() string { return "not taken: " + e.Why }

// checkQuota returns a QuotaError for a request of which a gang, or one task, takes more than
// its account may ever have. It would wait for as long as the quota is not raised.
func checkQuota(request workload.Request, terms account.Terms) error {
	for i, step := range request.Steps {
		together := 1
		if step.Gang {
			together = step.Count
		}
		if terms.Quota.Fitting(resource.Amount{}, step.Need, together) < together {
			return &QuotaError{fmt.Sprintf("step %d needs %v at once, and account %s may have %v",
				i, step.Need.Times(int64(together)), terms.Name, resource.Amount(terms.Quota))}
		}
	}
	return nil
}

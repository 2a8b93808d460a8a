package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chutereach/provider"
	"chutereach/resource"
)

// Operations of a worker.
const (
	OpFleet      Op = "fleet"
	OpList       Op = "list"
	OpStart      Op = "start"
	OpRenew      Op = "renew"
	OpStop       Op = "stop"
	OpCheckpoint Op = "checkpoint"
	OpThrottle   Op = "throttle"
)

// worker is one box that runs tasks. Its attempts only sleep, or serve.
type worker struct {
	fleet *Fleet
	info  provider.Worker

	mu       sync.Mutex
	boots    int
	seq      uint64
	changed  chan struct{} // closed at the next change
	attempts map[string]*attempt
	used     resource.Amount
}

// attempt is one attempt on a worker.
type attempt struct {
	state  provider.AttemptState
	need   resource.Amount
	work   time.Duration // left when at full speed, as of since
	rate   float64
	since  time.Time
	end    *time.Timer
	lapse  *time.Timer
	server *Upstream
	good   bool
	serves bool
}

func newWorker(f *Fleet, info provider.Worker) *worker {
	return &worker{fleet: f, info: info, boots: 1, changed: make(chan struct{}), attempts: map[string]*attempt{}}
}

func (w *worker) bootID() string { return fmt.Sprintf("%s-boot-%d", w.info.Name, w.boots) }

// admit checks what every call to a worker carries.
func (w *worker) admit(boot string, expires time.Time) error {
	if time.Now().After(expires) {
		return &provider.RefusedError{Worker: w.info.Name, Reason: provider.RefusedExpired}
	}
	if boot != w.bootID() {
		return &provider.RefusedError{Worker: w.info.Name, Reason: provider.RefusedStaleBoot}
	}
	return nil
}

func (w *worker) start(c provider.StartCall) (provider.AttemptState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(c.Boot, c.Expires); err != nil {
		return provider.AttemptState{}, err
	}
	if a, known := w.attempts[c.Attempt]; known {
		return a.state, nil
	}
	cmd, err := parseCommand(c.Command)
	if err != nil {
		return provider.AttemptState{}, err
	}
	a := &attempt{
		state: provider.AttemptState{Attempt: c.Attempt, Phase: provider.PhaseRunning, Until: c.Until},
		need:  c.Need, work: cmd.work, rate: 1, since: time.Now(), good: !cmd.fails, serves: cmd.serves,
	}
	if left, resumed := w.fleet.checkpoint(c.Checkpoint); resumed {
		a.work = left
	}
	if cmd.serves && w.fleet.Serve {
		if err := a.listen(cmd.work); err != nil {
			return provider.AttemptState{}, err
		}
	}
	w.begin(a)
	return a.state, nil
}

func (a *attempt) listen(service time.Duration) error {
	u, err := NewUpstream(service)
	if err != nil {
		return &provider.UnavailableError{Service: provider.WorkerService, Reason: err.Error()}
	}
	a.server = u
	a.state.Endpoint = u.Addr()
	return nil
}

func (w *worker) begin(a *attempt) {
	id := a.state.Attempt
	w.attempts[id] = a
	w.used = w.used.Plus(a.need)
	w.fleet.Witness.began(w.info.Name, id)
	w.fleet.Witness.used(w.info, w.used)
	a.lapse = time.AfterFunc(time.Until(a.state.Until), func() { w.lapsed(id) })
	if !a.serves {
		a.end = time.AfterFunc(a.work, func() { w.finished(id) })
	}
	w.news()
}

// news tells those who wait that something changed. The caller holds w.mu.
func (w *worker) news() {
	w.seq++
	close(w.changed)
	w.changed = make(chan struct{})
}

// over takes an attempt off the worker. The caller holds w.mu.
func (w *worker) over(a *attempt, phase provider.Phase, ok bool) {
	a.state.Phase, a.state.OK = phase, ok
	a.lapse.Stop()
	if a.end != nil {
		a.end.Stop()
	}
	if a.server != nil {
		a.server.Close()
	}
	w.used = w.used.Minus(a.need)
	w.fleet.Witness.ended(a.state.Attempt, ok)
	w.news()
}

func (w *worker) lapsed(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.attempts[id]
	if a == nil || a.state.Phase != provider.PhaseRunning {
		return
	}
	if left := time.Until(a.state.Until); left > 0 {
		a.lapse.Reset(left)
		return
	}
	w.over(a, provider.PhaseStopped, false)
}

func (w *worker) finished(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.attempts[id]
	if a == nil || a.state.Phase != provider.PhaseRunning {
		return
	}
	a.state.Result = []byte("ran " + id)
	w.over(a, provider.PhaseEnded, a.good)
}

func (w *worker) report() provider.Report {
	r := provider.Report{Boot: w.bootID(), Seq: w.seq, Usage: w.used}
	for _, a := range w.attempts {
		r.Attempts = append(r.Attempts, a.state)
	}
	return r
}

func (w *worker) list() provider.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report()
}

func (w *worker) renew(ctx context.Context, c provider.RenewCall) (provider.Report, error) {
	w.mu.Lock()
	if err := w.admit(c.Boot, c.Expires); err != nil {
		defer w.mu.Unlock()
		if w.bootID() != c.Boot {
			return w.report(), nil // the caller learns of the reboot
		}
		return provider.Report{}, err
	}
	w.extend(c)
	seq, changed := w.seq, w.changed
	w.mu.Unlock()
	if seq <= c.Seen {
		await(ctx, changed, c.Wait)
	}
	return w.list(), nil
}

func (w *worker) extend(c provider.RenewCall) {
	for _, l := range c.Leases {
		a := w.attempts[l.Attempt]
		if a != nil && a.state.Phase == provider.PhaseRunning && l.Until.After(a.state.Until) {
			a.state.Until = l.Until
		}
	}
	for _, id := range c.Forget {
		if a := w.attempts[id]; a != nil && a.state.Phase != provider.PhaseRunning {
			delete(w.attempts, id)
		}
	}
}

// await waits for a change, for d at the most. No timer is made that is due at once: with
// several such in a synctest bubble, selected on several threads, the race detector of Go
// 1.26 ends the process.
func await(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// onAttempt carries out do on a known attempt.
func (w *worker) onAttempt(c provider.AttemptCall, do func(*attempt)) (provider.AttemptState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(c.Boot, c.Expires); err != nil {
		return provider.AttemptState{}, err
	}
	a := w.attempts[c.Attempt]
	if a == nil {
		return provider.AttemptState{}, &provider.RefusedError{Worker: w.info.Name, Reason: provider.RefusedUnknownAttempt}
	}
	if a.state.Phase == provider.PhaseRunning {
		do(a)
	}
	return a.state, nil
}

func (w *worker) stop(c provider.AttemptCall) (provider.AttemptState, error) {
	return w.onAttempt(c, func(a *attempt) { w.over(a, provider.PhaseStopped, false) })
}

func (w *worker) checkpoint(c provider.AttemptCall) (provider.AttemptState, error) {
	return w.onAttempt(c, func(a *attempt) {
		a.state.Checkpoint = w.fleet.save(c.Attempt, a.left())
		w.over(a, provider.PhaseStopped, false)
	})
}

// left returns how long the attempt would still run at full speed.
func (a *attempt) left() time.Duration {
	return a.work - time.Duration(float64(time.Since(a.since))*a.rate)
}

func (w *worker) throttle(c provider.AttemptCall) (provider.AttemptState, error) {
	return w.onAttempt(c, func(a *attempt) {
		a.work, a.since = a.left(), time.Now()
		a.rate = float64(max(c.Percent, 1)) / 100
		if a.end != nil {
			a.end.Reset(time.Duration(float64(a.work) / a.rate))
		}
	})
}

// reboot ends everything at once and forgets it.
func (w *worker) reboot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, a := range w.attempts {
		if a.state.Phase == provider.PhaseRunning {
			w.over(a, provider.PhaseStopped, false)
		}
		delete(w.attempts, id)
	}
	w.boots++
	w.news()
}

package workload

import (
	"slices"

	"chutereach/fleet"
)

const (
	// earlyCrashLimit is the number of early worker crashes after which a task is given up.
	// The platform contract permits this once two workers have crashed under the task.
	earlyCrashLimit = 2
	// crashLimit is the number of worker crashes of any kind after which a task has only
	// attemptsAfterLimit attempts left. The platform contract forbids a third.
	crashLimit         = 3
	attemptsAfterLimit = 2
)

// CrashHistory is the persistent record of workers that ended while running a task. A worker that
// crashes cannot report the outcome of its tasks, so without this record a task that crashes
// its workers would be restarted indefinitely.
type CrashHistory struct {
	// WorkerCrashes is the number of workers that ended while they held an attempt.
	WorkerCrashes int `cbor:"6,keyasint,omitempty"`
	// EarlyCrashes is the number of workers that ended alone, immediately after the attempt started.
	EarlyCrashes int `cbor:"7,keyasint,omitempty"`
	// LastAttempt is the number of the last permitted attempt, or 0 if there is no limit.
	LastAttempt int `cbor:"8,keyasint,omitempty"`
	// Unresolved lists lost workers that may have crashed or may only be unreachable.
	Unresolved []LostWorker `cbor:"9,keyasint,omitempty"`
	// Suspected reports whether the task may be crashing its workers: an attempt was lost that
	// is not known to have run past its start, and no attempt has survived since.
	Suspected bool `cbor:"10,keyasint,omitempty"`
}

// LossEvidence classifies the loss of an attempt together with its worker.
type LossEvidence int

const (
	// LateLoss means that the attempt had run for some time before the worker was lost.
	LateLoss LossEvidence = iota
	// InconclusiveLoss means that the attempt may not have started, or that other workers were lost
	// at the same time.
	InconclusiveLoss
	// EarlyLoss means that only this worker was lost, immediately after the attempt had started.
	EarlyLoss
)

// String returns the name of the evidence in log lines.
func (e LossEvidence) String() string {
	switch e {
	case LateLoss:
		return "late"
	case EarlyLoss:
		return "early"
	}
	return "inconclusive"
}

// LostWorker identifies a worker incarnation that stopped responding until its lease expired.
type LostWorker struct {
	ID        string `cbor:"1,keyasint"`
	StartTime int64  `cbor:"3,keyasint,omitempty"`
	// Early reports whether a crash of this worker would count as an early crash.
	Early bool `cbor:"2,keyasint,omitempty"`
}

// Incarnation returns the incarnation that was lost.
func (l LostWorker) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: l.ID, StartTime: l.StartTime}
}

// WithLostAttempt returns c with the loss of an attempt whose worker may have crashed.
func (c CrashHistory) WithLostAttempt(worker fleet.Incarnation, evidence LossEvidence) CrashHistory {
	c.Unresolved = append(c.unresolvedExcept(worker), LostWorker{worker.ID, worker.StartTime, evidence == EarlyLoss})
	c.Suspected = c.Suspected || evidence != LateLoss
	return c
}

// WithSurvivedAttempt returns c after an attempt has survived its start.
func (c CrashHistory) WithSurvivedAttempt() CrashHistory {
	c.Suspected = false
	return c
}

// WithWorkerAlive returns c after a lost worker has responded again, which rules out a crash.
func (c CrashHistory) WithWorkerAlive(worker fleet.Incarnation) CrashHistory {
	c.Unresolved = c.unresolvedExcept(worker)
	return c
}

// WithWorkerCrash returns c after a lost worker is confirmed to have ended. attempt is the task's
// latest attempt. A worker that is not recorded as lost leaves c unchanged.
func (c CrashHistory) WithWorkerCrash(worker fleet.Incarnation, attempt int) CrashHistory {
	i := slices.IndexFunc(c.Unresolved, func(lost LostWorker) bool { return lost.Incarnation() == worker })
	if i < 0 {
		return c
	}
	c.WorkerCrashes++
	if c.Unresolved[i].Early {
		c.EarlyCrashes++
	}
	if c.WorkerCrashes == crashLimit {
		c.LastAttempt = attempt + attemptsAfterLimit
	}
	c.Unresolved = c.unresolvedExcept(worker)
	return c
}

// WithUnstartedAttempt returns c after an attempt that no worker has started. Such an attempt does
// not count towards the limit.
func (c CrashHistory) WithUnstartedAttempt() CrashHistory {
	if c.LastAttempt > 0 {
		c.LastAttempt++
	}
	return c
}

// unresolvedExcept returns the lost workers other than the given one.
func (c CrashHistory) unresolvedExcept(worker fleet.Incarnation) []LostWorker {
	var rest []LostWorker
	for _, lost := range c.Unresolved {
		if lost.Incarnation() != worker {
			rest = append(rest, lost)
		}
	}
	return rest
}

// MustWait reports whether the task must not start until its lost workers are known to have
// crashed or not, because their crashes would reach a limit.
func (c CrashHistory) MustWait() bool {
	if len(c.Unresolved) == 0 {
		return false
	}
	return c.EarlyCrashes+c.unresolvedEarly() >= earlyCrashLimit || c.WorkerCrashes+len(c.Unresolved) >= crashLimit
}

func (c CrashHistory) unresolvedEarly() int {
	count := 0
	for _, lost := range c.Unresolved {
		if lost.Early {
			count++
		}
	}
	return count
}

// Exhausted reports whether a task is given up after an attempt that did not complete.
func (c CrashHistory) Exhausted(attempt int) bool {
	return c.EarlyCrashes >= earlyCrashLimit || c.LastAttempt > 0 && attempt >= c.LastAttempt
}

// AttemptsLimited reports whether the task has a limited number of attempts left. Such attempts must
// not be preempted.
func (c CrashHistory) AttemptsLimited() bool { return c.LastAttempt > 0 }

package workload

import (
	"slices"
	"time"

	"chutereach/fleet"
)

const (
	// lossLimit is the number of consecutive unsurvived losses after which a task is given up. The platform
	// contract allows at most two starts after a task has crashed three workers.
	lossLimit = 5
	// immediateLossLimit replaces lossLimit if no conclusive loss had an exposure of more than
	// immediateExposure. A fault that follows a sound task from worker to worker takes longer to strike.
	immediateLossLimit = 3
	immediateExposure  = 25 * time.Millisecond
	// backoffFrom is the number of losses from which a task is not preempted, its starts are spread over
	// time, and attempts that end before they have worked may count.
	backoffFrom = 3
	// maxUnseenCounted is the number of unseen losses that count at most. Most are of sound tasks.
	maxUnseenCounted = 2
	// contradictionFactor is the ratio of an attempt's run time to the longest exposure of the
	// conclusive losses from which the attempt contradicts that the task caused them.
	contradictionFactor = 2
)

// CrashHistory is the persistent record of workers that ended while running a task. A worker that
// crashes cannot report the outcome of its tasks, so without this record a task that crashes
// its workers would be restarted indefinitely. Workers also end for other causes, so a loss counts
// only until another attempt shows that the task does not crash its workers.
//
// Keys 6 to 8 are in rows of builds that counted by other criteria. Those builds read a row of this
// one as without a crash.
type CrashHistory struct {
	// Unresolved lists lost workers that may have crashed or may only be unreachable.
	Unresolved []LostWorker `cbor:"9,keyasint,omitempty"`
	// Suspected reports whether the task may be crashing its workers: a loss was suspicious, and no
	// attempt has survived its start since.
	Suspected bool `cbor:"10,keyasint,omitempty"`
	// ConclusiveLosses is the number of crashed workers whose loss was conclusive.
	ConclusiveLosses int `cbor:"14,keyasint,omitempty"`
	// UnsurvivedLosses is the number of workers that crashed under attempts not known to have
	// survived their start, since the last attempt that did.
	UnsurvivedLosses int `cbor:"15,keyasint,omitempty"`
	// LongestExposure is the longest exposure of the conclusive losses.
	LongestExposure time.Duration `cbor:"16,keyasint,omitempty"`
	// IdleAttempts is the number of attempts that ended before they had worked, since few starts were
	// left.
	IdleAttempts int `cbor:"17,keyasint,omitempty"`
	// UnseenLosses is the number of workers that crashed under attempts that were probably beyond their
	// start but are not shown to have survived it, since the last attempt that did.
	UnseenLosses int `cbor:"18,keyasint,omitempty"`
}

// LossEvidence is the evidence that an attempt crashed the worker it was lost with.
type LossEvidence struct {
	// Unsurvived reports whether the attempt may have been lost at its start.
	Unsurvived bool `cbor:"4,keyasint,omitempty"`
	// Conclusive reports whether the worker is unlikely to have ended at this time by coincidence.
	Conclusive bool `cbor:"5,keyasint,omitempty"`
	// Exposure is the longest time for which the attempt can have run.
	Exposure time.Duration `cbor:"6,keyasint,omitempty"`
	// Unseen reports whether the attempt was probably not lost at its start, but is not shown to have
	// survived it either: the owner may have been cut off from the worker.
	Unseen bool `cbor:"7,keyasint,omitempty"`
}

// Suspicious reports whether the loss may count against the task.
func (e LossEvidence) Suspicious() bool { return e.Unsurvived || e.Conclusive }

// String returns the name of the evidence in log lines.
func (e LossEvidence) String() string {
	switch {
	case e.Conclusive:
		return "conclusive"
	case e.Unsurvived:
		return "unsurvived"
	}
	return "late"
}

// LostWorker identifies a worker incarnation that stopped responding until its lease expired.
type LostWorker struct {
	ID        string `cbor:"1,keyasint"`
	StartTime int64  `cbor:"3,keyasint,omitempty"`
	LossEvidence
}

// Incarnation returns the incarnation that was lost.
func (l LostWorker) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: l.ID, StartTime: l.StartTime}
}

// IsEmpty reports whether nothing is recorded.
func (c CrashHistory) IsEmpty() bool { return c.Equal(CrashHistory{}) }

// Equal reports whether c and other record the same.
func (c CrashHistory) Equal(other CrashHistory) bool {
	return c.Suspected == other.Suspected && c.ConclusiveLosses == other.ConclusiveLosses && c.UnsurvivedLosses == other.UnsurvivedLosses &&
		c.LongestExposure == other.LongestExposure && c.IdleAttempts == other.IdleAttempts &&
		c.UnseenLosses == other.UnseenLosses && slices.Equal(c.Unresolved, other.Unresolved)
}

// WithLostAttempt returns c with the loss of an attempt whose worker may have crashed.
func (c CrashHistory) WithLostAttempt(worker fleet.Incarnation, evidence LossEvidence) CrashHistory {
	c.Unresolved = append(c.unresolvedExcept(worker), LostWorker{worker.ID, worker.StartTime, evidence})
	c.Suspected = c.Suspected || evidence.Suspicious()
	return c
}

// WithSurvivedAttempt returns c after an attempt has survived its start and run for at least the
// given time.
func (c CrashHistory) WithSurvivedAttempt(ran time.Duration) CrashHistory {
	longest := c.LongestExposure
	for _, lost := range c.Unresolved {
		if lost.Conclusive {
			longest = max(longest, lost.Exposure)
		}
	}
	contradicted := ran > contradictionFactor*longest
	c.Suspected, c.UnsurvivedLosses, c.UnseenLosses, c.IdleAttempts = false, 0, 0, 0
	if contradicted {
		c.ConclusiveLosses, c.LongestExposure = 0, 0
	}
	c.Unresolved = slices.Clone(c.Unresolved)
	for i := range c.Unresolved {
		c.Unresolved[i].Unsurvived, c.Unresolved[i].Unseen = false, false
		c.Unresolved[i].Conclusive = c.Unresolved[i].Conclusive && !contradicted
	}
	return c
}

// WithIdleAttempt returns c after a worker has reported the end of an attempt that may not have worked:
// it was stopped early, or its gang was never complete. It shows nothing of the task, but it is one of
// the starts that are left to a task that crashes its workers.
func (c CrashHistory) WithIdleAttempt() CrashHistory {
	c.Suspected = false
	if max(c.ConclusiveLosses, c.UnsurvivedLosses) >= backoffFrom {
		c.IdleAttempts++
	}
	return c
}

// WithReportedOutcome returns c after a worker has reported that an attempt is done or has failed,
// which shows that the task does not crash its workers.
func (c CrashHistory) WithReportedOutcome() CrashHistory {
	unresolved := slices.Clone(c.Unresolved)
	for i := range unresolved {
		unresolved[i].LossEvidence = LossEvidence{}
	}
	return CrashHistory{Unresolved: unresolved}
}

// WithWorkerAlive returns c after a lost worker has responded again, which rules out a crash.
func (c CrashHistory) WithWorkerAlive(worker fleet.Incarnation) CrashHistory {
	c.Unresolved = c.unresolvedExcept(worker)
	return c
}

// WithWorkerCrash returns c after a lost worker is confirmed to have ended. A worker that is not
// recorded as lost leaves c unchanged.
func (c CrashHistory) WithWorkerCrash(worker fleet.Incarnation) CrashHistory {
	i := slices.IndexFunc(c.Unresolved, func(lost LostWorker) bool { return lost.Incarnation() == worker })
	if i < 0 {
		return c
	}
	lost := c.Unresolved[i]
	if lost.Unsurvived {
		c.UnsurvivedLosses++
	}
	if lost.Unseen {
		c.UnseenLosses++
	}
	if lost.Conclusive {
		c.ConclusiveLosses++
		c.LongestExposure = max(c.LongestExposure, lost.Exposure)
	}
	c.Unresolved = c.unresolvedExcept(worker)
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
	return len(c.Unresolved) > 0 && !c.Exhausted() && c.withUnresolvedCrashed().Exhausted()
}

// withUnresolvedCrashed returns c as if all lost workers had crashed.
func (c CrashHistory) withUnresolvedCrashed() CrashHistory {
	for _, lost := range c.Unresolved {
		c = c.WithWorkerCrash(lost.Incarnation())
	}
	return c
}

// Exhausted reports whether the task is given up. Losses of attempts that have survived their start never
// suffice, however unlikely a coincidence is: trouble may follow a sound task. Idle attempts and unseen losses
// count only if a loss was conclusive: where workers go down and up by turns, gangs often end before they work.
func (c CrashHistory) Exhausted() bool {
	if c.ConclusiveLosses >= immediateLossLimit && c.LongestExposure <= immediateExposure {
		return true
	}
	unsurvived := c.UnsurvivedLosses
	if c.ConclusiveLosses > 0 {
		unsurvived += c.IdleAttempts + min(c.UnseenLosses, maxUnseenCounted)
	}
	return unsurvived >= lossLimit
}

// MustBackOff reports whether workers have ended under the task so often that it may be given up after two more
// losses, or ends workers late. Its attempts must then not be preempted, and its starts are spread over time.
func (c CrashHistory) MustBackOff() bool {
	worst := c.withUnresolvedCrashed()
	return max(worst.ConclusiveLosses, worst.UnsurvivedLosses) >= backoffFrom
}

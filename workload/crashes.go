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

// Crashes is the persistent record of workers that ended while running a task. A worker that
// crashes cannot report the outcome of its tasks, so without this record a task that crashes
// its workers would be restarted indefinitely.
type Crashes struct {
	// Workers is the number of workers that ended while they held an attempt.
	Workers int `cbor:"6,keyasint,omitempty"`
	// Soon is the number of workers that ended alone, immediately after the attempt started.
	Soon int `cbor:"7,keyasint,omitempty"`
	// LastAttempt is the number of the last permitted attempt, or 0 if there is no limit.
	LastAttempt int `cbor:"8,keyasint,omitempty"`
	// Open lists lost workers that may have crashed or may only be unreachable.
	Open []LostWorker `cbor:"9,keyasint,omitempty"`
	// Suspect reports whether the task may be crashing its workers: an attempt was lost that
	// is not known to have run past its start, and no attempt has survived since.
	Suspect bool `cbor:"10,keyasint,omitempty"`
}

// Evidence classifies the loss of an attempt together with its worker.
type Evidence int

const (
	// RanOn means that the attempt had run for some time before the worker was lost.
	RanOn Evidence = iota
	// Unclear means that the attempt may not have started, or that other workers were lost
	// at the same time.
	Unclear
	// AtOnce means that only this worker was lost, immediately after the attempt had started.
	AtOnce
)

// LostWorker identifies a worker incarnation that stopped responding until its lease expired.
type LostWorker struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"3,keyasint,omitempty"`
	// Early reports whether a crash of this worker would count as an early crash.
	Early bool `cbor:"2,keyasint,omitempty"`
}

// Life returns the incarnation that was lost.
func (l LostWorker) Life() fleet.Life { return fleet.Life{ID: l.ID, Born: l.Born} }

// WithLost returns c with the loss of an attempt whose worker may have crashed.
func (c Crashes) WithLost(worker fleet.Life, evidence Evidence) Crashes {
	c.Open = append(c.unresolvedExcept(worker), LostWorker{worker.ID, worker.Born, evidence == AtOnce})
	c.Suspect = c.Suspect || evidence != RanOn
	return c
}

// WithSettled returns c after an attempt has survived its start.
func (c Crashes) WithSettled() Crashes {
	c.Suspect = false
	return c
}

// WithFound returns c after a lost worker has responded again, which rules out a crash.
func (c Crashes) WithFound(worker fleet.Life) Crashes {
	c.Open = c.unresolvedExcept(worker)
	return c
}

// WithEnded returns c after a lost worker is confirmed to have ended. attempt is the task's
// latest attempt. A worker that is not recorded as lost leaves c unchanged.
func (c Crashes) WithEnded(worker fleet.Life, attempt int) Crashes {
	i := slices.IndexFunc(c.Open, func(lost LostWorker) bool { return lost.Life() == worker })
	if i < 0 {
		return c
	}
	c.Workers++
	if c.Open[i].Early {
		c.Soon++
	}
	if c.Workers == crashLimit {
		c.LastAttempt = attempt + attemptsAfterLimit
	}
	c.Open = c.unresolvedExcept(worker)
	return c
}

// WithSpareAttempt returns c after an attempt that no worker has started. Such an attempt does
// not count towards the limit.
func (c Crashes) WithSpareAttempt() Crashes {
	if c.LastAttempt > 0 {
		c.LastAttempt++
	}
	return c
}

// unresolvedExcept returns the lost workers other than the given one.
func (c Crashes) unresolvedExcept(worker fleet.Life) []LostWorker {
	var rest []LostWorker
	for _, lost := range c.Open {
		if lost.Life() != worker {
			rest = append(rest, lost)
		}
	}
	return rest
}

// Held reports whether the task must not start until its lost workers are known to have
// crashed or not, because their crashes would reach a limit.
func (c Crashes) Held() bool {
	if len(c.Open) == 0 {
		return false
	}
	return c.Soon+c.unresolvedEarly() >= earlyCrashLimit || c.Workers+len(c.Open) >= crashLimit
}

func (c Crashes) unresolvedEarly() int {
	count := 0
	for _, lost := range c.Open {
		if lost.Early {
			count++
		}
	}
	return count
}

// GivenUp reports whether a task is given up after an attempt that did not complete.
func (c Crashes) GivenUp(attempt int) bool {
	return c.Soon >= earlyCrashLimit || c.LastAttempt > 0 && attempt >= c.LastAttempt
}

// Numbered reports whether the task has a limited number of attempts left. Such attempts must
// not be preempted.
func (c Crashes) Numbered() bool { return c.LastAttempt > 0 }

package workload

import (
	"slices"

	"chutereach/fleet"
)

const (
	// mostSoon is at how many workers that ended as soon as a task had begun there the task
	// is given up. The users' platform allows that once two workers have crashed under it.
	mostSoon = 2
	// mostLost is at how many workers that ended under a task in any way its attempts are
	// limited, and lastAttempts how many more it then has: one fewer than the three that
	// would break the users' rule.
	mostLost     = 3
	lastAttempts = 2
)

// Crashes is what must last of the workers that have ended under a task. A task that
// crashes its workers lists no end that says so; without this count it is started for ever,
// and each start takes a worker with all that runs there.
type Crashes struct {
	// Workers have ended while an attempt was there, and Soon of them as soon as it had
	// begun, with no other worker ending at that moment.
	Workers int `cbor:"6,keyasint,omitempty"`
	Soon    int `cbor:"7,keyasint,omitempty"`
	// LastAttempt is the number of the last attempt that the task may have; 0: no bound yet.
	LastAttempt int `cbor:"8,keyasint,omitempty"`
	// Open are workers that an attempt was lost with and of which it is not known yet
	// whether they have ended or are only out of reach.
	Open []LostWorker `cbor:"9,keyasint,omitempty"`
	// Suspect is whether the task may be one that crashes its workers: no attempt has run
	// on since one was lost that was not known to have done so.
	Suspect bool `cbor:"10,keyasint,omitempty"`
}

// Evidence is what is known of an attempt that was lost with its worker.
type Evidence int

const (
	// RanOn says that the attempt had run for a while.
	RanOn Evidence = iota
	// Unclear says that it may have run or not, or that other workers went with this one.
	Unclear
	// AtOnce says that the worker went as soon as the attempt had begun, and went alone.
	AtOnce
)

// LostWorker is a life of a worker that did not answer until its lease had run out.
type LostWorker struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"3,keyasint,omitempty"`
	// Soon is whether it would count as one that ended as soon as the attempt had begun.
	Soon bool `cbor:"2,keyasint,omitempty"`
}

// Life returns which life was lost.
func (l LostWorker) Life() fleet.Life { return fleet.Life{ID: l.ID, Born: l.Born} }

// WithLost returns c after an attempt was lost with a worker whose fate is not known.
func (c Crashes) WithLost(worker fleet.Life, evidence Evidence) Crashes {
	c.Open = append(c.without(worker), LostWorker{worker.ID, worker.Born, evidence == AtOnce})
	c.Suspect = c.Suspect || evidence != RanOn
	return c
}

// WithSettled returns c after an attempt has run on.
func (c Crashes) WithSettled() Crashes {
	c.Suspect = false
	return c
}

// WithFound returns c after a worker has answered again: it had not ended.
func (c Crashes) WithFound(worker fleet.Life) Crashes {
	c.Open = c.without(worker)
	return c
}

// WithEnded returns c after an open worker has turned out to have ended. attempt is the
// task's last attempt so far. A worker that is not open changes nothing.
func (c Crashes) WithEnded(worker fleet.Life, attempt int) Crashes {
	i := slices.IndexFunc(c.Open, func(lost LostWorker) bool { return lost.Life() == worker })
	if i < 0 {
		return c
	}
	c.Workers++
	if c.Open[i].Soon {
		c.Soon++
	}
	if c.Workers == mostLost {
		c.LastAttempt = attempt + lastAttempts
	}
	c.Open = c.without(worker)
	return c
}

// WithSpareAttempt returns c after an attempt that no worker has begun.
func (c Crashes) WithSpareAttempt() Crashes {
	if c.LastAttempt > 0 {
		c.LastAttempt++
	}
	return c
}

// without returns the open workers but one.
func (c Crashes) without(worker fleet.Life) []LostWorker {
	var rest []LostWorker
	for _, lost := range c.Open {
		if lost.Life() != worker {
			rest = append(rest, lost)
		}
	}
	return rest
}

// Held reports whether the task must wait until the fate of its open workers is known: if
// they have ended, it is to be given up, or its attempts are numbered.
func (c Crashes) Held() bool {
	if len(c.Open) == 0 {
		return false
	}
	return c.Soon+c.openSoon() >= mostSoon || c.Workers+len(c.Open) >= mostLost
}

func (c Crashes) openSoon() int {
	count := 0
	for _, lost := range c.Open {
		if lost.Soon {
			count++
		}
	}
	return count
}

// GivenUp reports whether a task is to be given up after an attempt that was not done.
func (c Crashes) GivenUp(attempt int) bool {
	return c.Soon >= mostSoon || c.LastAttempt > 0 && attempt >= c.LastAttempt
}

// Numbered reports whether the task has only a few attempts left. They are not to be ended
// for the sake of other tasks.
func (c Crashes) Numbered() bool { return c.LastAttempt > 0 }

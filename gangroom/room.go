package gangroom

// reserveFactor is the number of free slots that are kept for a gang, as a multiple of its waiting
// tasks. The reserve covers workers that turn out ineligible or are lost before the gang starts.
const reserveFactor = 1.5

// Eligibility is what is known of a worker's eligibility for a gang.
type Eligibility int

const (
	Unasked    Eligibility = iota // the worker has not been asked about
	Eligible                      // the worker may run the gang
	Ineligible                    // the worker must not run the gang
)

// Room counts the free slots for a waiting gang, that is, the tasks of the gang that fit into the
// free capacity of workers. The zero Room is that of a gang without tasks, which needs no slots.
type Room struct {
	tasks         int     // waiting tasks
	eligibleShare float64 // expected share of eligible workers among those not asked about
	eligible      int     // slots on eligible workers
	unasked       int     // slots on workers not asked about
}

// New returns the room of a gang before any worker has been counted.
func New(waitingTasks int, eligibleShare float64) Room {
	return Room{tasks: waitingTasks, eligibleShare: eligibleShare}
}

// Tasks returns the number of waiting tasks.
func (r Room) Tasks() int { return r.tasks }

// Slots returns the expected number of usable free slots.
func (r Room) Slots() float64 {
	return float64(r.eligible) + r.eligibleShare*float64(r.unasked)
}

// Suffices reports whether the gang is expected to fit into its free slots.
func (r Room) Suffices() bool { return r.Slots() >= float64(r.tasks) }

// WithWorker adds the free slots of a worker.
func (r Room) WithWorker(e Eligibility, slots int) Room {
	switch e {
	case Eligible:
		r.eligible += slots
	case Unasked:
		r.unasked += slots
	}
	return r
}

// WithAllocation updates the count after the free slots of one worker have changed.
func (r Room) WithAllocation(e Eligibility, before, after int) Room {
	return r.WithWorker(e, after-before)
}

// Allows reports whether other work may reduce the free slots of a worker from before to after. It
// always may if the gang loses no slot that it could use.
func (r Room) Allows(e Eligibility, before, after int) bool {
	next := r.WithAllocation(e, before, after)
	return next.Slots() >= r.Slots() || next.Slots() >= reserveFactor*float64(r.tasks)
}

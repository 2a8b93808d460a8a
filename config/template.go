package config

import (
	"regexp"
	"slices"
	"time"

	"chutereach/resource"
)

// Class orders work: every class goes before the ones behind it.
type Class string

// The classes, the most urgent first.
const (
	Urgent  Class = "urgent"
	Service Class = "service"
	Batch   Class = "batch"
)

// Classes lists the classes, the most urgent first.
var Classes = []Class{Urgent, Service, Batch}

// Rank returns the place of c among the classes, 0 for the most urgent.
func (c Class) Rank() int { return slices.Index(Classes, c) }

// Form says whether a template's tasks end by themselves.
type Form string

// The forms of a template.
const (
	FormBatch   Form = "batch"   // tasks run to their end
	FormService Form = "service" // tasks are replicas that are kept up
)

// Repeat says what may be done with a task whose attempt was lost.
type Repeat string

// What may be done with a lost attempt.
const (
	RepeatAlways     Repeat = "always"     // start it again
	RepeatCheckpoint Repeat = "checkpoint" // resume it from its checkpoint, else as never
	RepeatNever      Repeat = "never"      // leave it to an operator
)

// Template is what jobs and services are created from.
type Template struct {
	Name        string            `json:"name"`
	Form        Form              `json:"form"`
	Class       Class             `json:"class"`
	Command     string            `json:"command"`
	Need        resource.Amount   `json:"need"` // of one task
	Tasks       int               `json:"tasks"`
	Lease       time.Duration     `json:"lease"`
	Repeat      Repeat            `json:"repeat"`
	Attempts    int               `json:"attempts"` // starts allowed to a task that keeps failing
	Halls       []string          `json:"halls,omitempty"`
	Params      []string          `json:"params,omitempty"` // which the account gives
	Inputs      []string          `json:"inputs,omitempty"` // which each request gives
	Policy      string            `json:"policy"`
	Tolerates   []string          `json:"tolerates,omitempty"` // taints
	Affinity    map[string]string `json:"affinity,omitempty"`  // labels that a worker must have
	Avoid       map[string]string `json:"avoid,omitempty"`     // labels that a worker must not have
	Slots       int               `json:"slots,omitempty"`     // requests that a replica serves at once
	Connections int               `json:"connections,omitempty"`
	Down        int               `json:"down,omitempty"` // replicas that a planned stop may take down at once
}

const (
	// MinLease is the shortest lease: shorter ones lapse in an ordinary pause.
	MinLease = 5 * time.Second
	// MaxLease bounds how long a dead worker can keep its tasks from others.
	MaxLease = 24 * time.Hour
	// MaxTasks bounds the tasks of one job, whose row lists none of them.
	MaxTasks = 10_000
	maxSlots = 4096
	maxTries = 100
)

// validName keeps names usable in table keys, paths and INI headers.
var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check returns every rule that t breaks by itself.
func (t Template) Check() []*InvalidError {
	c := checker{kind: KindTemplate, name: t.Name}
	c.want(validName.MatchString(t.Name), "name", "must be lower-case letters, digits and hyphens, 63 at most")
	c.want(t.Form == FormBatch || t.Form == FormService, "form", "must be batch or service")
	c.want(t.Class.Rank() >= 0, "class", "must be urgent, service or batch")
	c.want(t.Command != "", "command", "must not be empty")
	c.want(t.Need.Valid() && t.Need.CPU > 0, "cpu", "must be more than 0")
	c.want(t.Need.Memory > 0, "memory", "must be more than 0")
	c.want(t.Tasks >= 1 && t.Tasks <= MaxTasks, "tasks", "must be 1 to %d", MaxTasks)
	c.want(t.Lease >= MinLease && t.Lease <= MaxLease, "lease", "must be %v to %v", MinLease, MaxLease)
	c.want(t.Repeat == RepeatAlways || t.Repeat == RepeatNever || t.Repeat == RepeatCheckpoint,
		"repeat", "must be always, checkpoint or never")
	c.want(t.Attempts >= 1 && t.Attempts <= maxTries, "attempts", "must be 1 to %d", maxTries)
	t.checkService(&c)
	return c.errs
}

func (t Template) checkService(c *checker) {
	if t.Form != FormService {
		c.want(t.Slots == 0, "slots", "only a service has slots")
		c.want(t.Connections == 0, "connections", "only a service has connections")
		return
	}
	c.want(t.Repeat == RepeatAlways, "repeat", "a service's replicas are always started again")
	c.want(t.Slots >= 1 && t.Slots <= maxSlots, "slots", "must be 1 to %d", maxSlots)
	c.want(t.Connections >= t.Slots, "connections", "must be at least the %d slots", t.Slots)
	c.want(t.Down >= 1 && t.Down <= MaxTasks, "down", "must be 1 to %d", MaxTasks)
}

// AllowsHall reports whether tasks of t may run in hall.
func (t Template) AllowsHall(hall string) bool {
	return len(t.Halls) == 0 || slices.Contains(t.Halls, hall)
}

package config

import (
	"regexp"
	"slices"
	"time"

	"chutereach/resource"
)

// Class is the priority class of work. Work of a higher class goes first.
type Class string

// The classes in descending priority.
const (
	Urgent  Class = "urgent"
	Service Class = "service"
	Batch   Class = "batch"
)

// Classes lists the classes in descending priority.
var Classes = []Class{Urgent, Service, Batch}

// Rank returns the index of c in Classes, or -1 if c is not a class.
func (c Class) Rank() int { return slices.Index(Classes, c) }

// Form is the execution model of a template.
type Form string

// The forms of a template.
const (
	FormBatch   Form = "batch"   // tasks run to completion
	FormService Form = "service" // tasks are replicas that are kept running
)

// Repeat is the policy for a task whose attempt was lost.
type Repeat string

// The policies for lost attempts.
const (
	RepeatAlways     Repeat = "always"     // start the task again
	RepeatCheckpoint Repeat = "checkpoint" // resume the task from its checkpoint; without one, as RepeatNever
	RepeatNever      Repeat = "never"      // leave the decision to an operator
)

// Template is the specification from which jobs and services are created.
type Template struct {
	Name        string            `json:"name"`
	Form        Form              `json:"form"`
	Class       Class             `json:"class"`
	Command     string            `json:"command"`
	Need        resource.Amount   `json:"need"` // resources per task
	Tasks       int               `json:"tasks"`
	Lease       time.Duration     `json:"lease"`
	Repeat      Repeat            `json:"repeat"`
	Attempts    int               `json:"attempts"` // maximum number of starts of a failing task
	Halls       []string          `json:"halls,omitempty"`
	Params      []string          `json:"params,omitempty"` // set by the account
	Inputs      []string          `json:"inputs,omitempty"` // set by each request
	Policy      string            `json:"policy"`
	Tolerates   []string          `json:"tolerates,omitempty"` // tolerated taints
	Affinity    map[string]string `json:"affinity,omitempty"`  // labels that a worker must have
	Avoid       map[string]string `json:"avoid,omitempty"`     // labels that a worker must not have
	Slots       int               `json:"slots,omitempty"`     // concurrent requests per replica
	Connections int               `json:"connections,omitempty"`
	Down        int               `json:"down,omitempty"` // maximum number of replicas that planned stops may take down at once
}

const (
	// MinLease is the shortest allowed lease. Shorter leases expire during ordinary pauses.
	MinLease = 5 * time.Second
	// MaxLease is the longest allowed lease. It limits how long the tasks of a dead worker
	// cannot be started elsewhere.
	MaxLease = 24 * time.Hour
	// MaxTasks is the maximum number of tasks per job. A job's row does not list its tasks.
	MaxTasks    = 10_000
	maxSlots    = 4096
	maxAttempts = 100
)

// validName restricts names to those usable in table keys, paths and INI headers.
var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check returns the rules that t violates, without regard to other declarations.
func (t Template) Check() []*InvalidError {
	c := checker{kind: KindTemplate, name: t.Name}
	c.require(validName.MatchString(t.Name), "name", "must be lower-case letters, digits and hyphens, 63 at most")
	c.require(t.Form == FormBatch || t.Form == FormService, "form", "must be batch or service")
	c.require(t.Class.Rank() >= 0, "class", "must be urgent, service or batch")
	c.require(t.Command != "", "command", "must not be empty")
	c.require(t.Need.Valid() && t.Need.CPU > 0, "cpu", "must be more than 0")
	c.require(t.Need.Memory > 0, "memory", "must be more than 0")
	c.require(t.Tasks >= 1 && t.Tasks <= MaxTasks, "tasks", "must be 1 to %d", MaxTasks)
	c.require(t.Lease >= MinLease && t.Lease <= MaxLease, "lease", "must be %v to %v", MinLease, MaxLease)
	c.require(t.Repeat == RepeatAlways || t.Repeat == RepeatNever || t.Repeat == RepeatCheckpoint,
		"repeat", "must be always, checkpoint or never")
	c.require(t.Attempts >= 1 && t.Attempts <= maxAttempts, "attempts", "must be 1 to %d", maxAttempts)
	t.checkService(&c)
	return c.errs
}

func (t Template) checkService(c *checker) {
	if t.Form != FormService {
		c.require(t.Slots == 0, "slots", "only a service has slots")
		c.require(t.Connections == 0, "connections", "only a service has connections")
		return
	}
	c.require(t.Repeat == RepeatAlways, "repeat", "a service's replicas are always started again")
	c.require(t.Slots >= 1 && t.Slots <= maxSlots, "slots", "must be 1 to %d", maxSlots)
	c.require(t.Connections >= t.Slots, "connections", "must be at least the %d slots", t.Slots)
	c.require(t.Down >= 1 && t.Down <= MaxTasks, "down", "must be 1 to %d", MaxTasks)
}

// AllowsHall reports whether tasks of t may run in hall.
func (t Template) AllowsHall(hall string) bool {
	return len(t.Halls) == 0 || slices.Contains(t.Halls, hall)
}

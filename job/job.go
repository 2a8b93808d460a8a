package job

import (
	"fmt"
	"strings"
	"time"

	"github.com/rs/xid"

	"chutereach/codec"
	"chutereach/config"
)

// ID names a job, and with it the unit that owns the job: "chipre.d4...".
type ID string

// NewID returns a new id for a job of unit.
func NewID(unit string) ID { return ID(unit + "." + xid.New().String()) }

// Unit returns the unit that owns the job.
func (id ID) Unit() string {
	unit, _, _ := strings.Cut(string(id), ".")
	return unit
}

// Valid reports whether id has the form of a job's id.
func (id ID) Valid() bool {
	unit, rest, found := strings.Cut(string(id), ".")
	if !found || unit == "" || strings.Contains(unit, "/") {
		return false
	}
	_, err := xid.FromString(rest)
	return err == nil
}

// Job is work that an account handed in.
type Job struct {
	ID       ID                `json:"id" cbor:"1,keyasint"`
	Account  string            `json:"account" cbor:"2,keyasint"`
	Template config.Template   `json:"template" cbor:"3,keyasint"`
	Scoring  config.Scoring    `json:"scoring" cbor:"4,keyasint"`
	Params   map[string]string `json:"params,omitempty" cbor:"5,keyasint,omitempty"`
	Tasks    int               `json:"tasks" cbor:"6,keyasint"`
	Created  time.Time         `json:"created" cbor:"7,keyasint"`
	Start    time.Time         `json:"start,omitzero" cbor:"8,keyasint,omitempty"` // not before
	Revision uint64            `json:"revision" cbor:"9,keyasint"`                 // of the configuration
	Stopped  bool              `json:"stopped,omitempty" cbor:"10,keyasint,omitempty"`
}

// InvalidError says why a job cannot be created.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return e.Reason }

// Request is what a caller asks for.
type Request struct {
	Template string            `json:"template"`
	Params   map[string]string `json:"params,omitempty"`
	Tasks    int               `json:"tasks,omitempty"` // 0 takes the template's
	Start    time.Time         `json:"start,omitzero"`
}

// New creates a job of unit for an account, under a revision.
func New(unit string, r Request, account config.Account, rev config.Revision, now time.Time) (Job, error) {
	t, known := rev.Set.Templates[r.Template]
	if !known {
		return Job{}, &InvalidError{fmt.Sprintf("there is no template %q; see the templates in force with 'chutereach status'", r.Template)}
	}
	if !allowed(account, t.Name) {
		return Job{}, &InvalidError{fmt.Sprintf("account %s may not use template %s", account.Name, t.Name)}
	}
	params, err := merge(t, account.Params, r.Params)
	if err != nil {
		return Job{}, err
	}
	tasks := r.Tasks
	if tasks == 0 {
		tasks = t.Tasks
	}
	if tasks < 1 || tasks > config.MaxTasks {
		return Job{}, &InvalidError{fmt.Sprintf("tasks must be 1 to %d", config.MaxTasks)}
	}
	return Job{
		ID: NewID(unit), Account: account.Name, Template: t, Scoring: rev.Set.Policies[t.Policy].Scoring,
		Params: params, Tasks: tasks, Created: now, Start: r.Start, Revision: rev.Number,
	}, nil
}

func allowed(a config.Account, template string) bool {
	for _, t := range a.Templates {
		if t == template {
			return true
		}
	}
	return len(a.Templates) == 0
}

// merge takes the template's parameters from the account, and its inputs from
// the request, which may also overlay parameters. A name that the template does
// not know is an error: it is more often a misspelling than a wish to be
// ignored.
func merge(t config.Template, account, request map[string]string) (map[string]string, error) {
	params := map[string]string{}
	for _, p := range t.Params {
		v, given := request[p]
		if !given {
			v, given = account[p]
		}
		if !given {
			return nil, &InvalidError{fmt.Sprintf("template %s needs the parameter %q", t.Name, p)}
		}
		params[p] = v
	}
	for _, p := range t.Inputs {
		v, given := request[p]
		if !given {
			return nil, &InvalidError{fmt.Sprintf("template %s needs the input %q with each job", t.Name, p)}
		}
		params[p] = v
	}
	for p := range request {
		if _, known := params[p]; !known {
			return nil, &InvalidError{fmt.Sprintf("template %s has no parameter %q", t.Name, p)}
		}
	}
	return params, nil
}

// WithStopped returns j marked as one that shall run no more.
func (j Job) WithStopped() Job {
	j.Stopped = true
	return j
}

// WithTemplate returns a service's job under another form of its template. Its
// replicas are replaced by and by.
func (j Job) WithTemplate(t config.Template, scoring config.Scoring, account config.Account, revision uint64) (Job, error) {
	params, err := merge(t, account.Params, nil)
	if err != nil {
		return j, err
	}
	j.Template, j.Scoring, j.Params, j.Revision = t, scoring, params, revision
	return j, nil
}

// Key returns the key of j's row.
func (j Job) Key() string { return Key(j.ID) }

// Key returns the key of the row of the job called id.
func Key(id ID) string { return Prefix(id.Unit()) + string(id) }

// Prefix returns what the keys of a unit's jobs begin with.
func Prefix(unit string) string { return "job/" + unit + "/" }

// InboxPrefix returns what the keys of a unit's inbox begin with. A row there
// says that a job was inserted that the unit's owner may not have seen.
func InboxPrefix(unit string) string { return "inbox/" + unit + "/" }

// InboxKey returns the key of id's row in its unit's inbox.
func InboxKey(id ID) string { return InboxPrefix(id.Unit()) + string(id) }

// Encode returns j as the table keeps it.
func (j Job) Encode() []byte { return codec.MustMarshal(j) }

// Decode reads a job's row.
func Decode(row []byte) (Job, error) {
	var j Job
	err := codec.Unmarshal(row, &j)
	return j, err
}

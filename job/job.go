package job

import (
	"fmt"
	"strings"
	"time"

	"github.com/rs/xid"

	"chutereach/codec"
	"chutereach/config"
)

// ID identifies a job and the unit that owns it. Its form is "unit.xid".
type ID string

// NewID returns a new unique ID for a job of unit.
func NewID(unit string) ID { return ID(unit + "." + xid.New().String()) }

// Unit returns the unit that owns the job.
func (id ID) Unit() string {
	unit, _, _ := strings.Cut(string(id), ".")
	return unit
}

// Valid reports whether id is well formed.
func (id ID) Valid() bool {
	unit, rest, found := strings.Cut(string(id), ".")
	if !found || unit == "" || strings.Contains(unit, "/") {
		return false
	}
	_, err := xid.FromString(rest)
	return err == nil
}

// Job is a unit of work submitted by an account. It holds a copy of its template.
type Job struct {
	ID       ID                `json:"id" cbor:"1,keyasint"`
	Account  string            `json:"account" cbor:"2,keyasint"`
	Template config.Template   `json:"template" cbor:"3,keyasint"`
	Scoring  config.Scoring    `json:"scoring" cbor:"4,keyasint"`
	Params   map[string]string `json:"params,omitempty" cbor:"5,keyasint,omitempty"`
	Tasks    int               `json:"tasks" cbor:"6,keyasint"`
	Created  time.Time         `json:"created" cbor:"7,keyasint"`
	Start    time.Time         `json:"start,omitzero" cbor:"8,keyasint,omitempty"` // earliest start
	Revision uint64            `json:"revision" cbor:"9,keyasint"`                 // configuration revision of Template
	Stopped  bool              `json:"stopped,omitempty" cbor:"10,keyasint,omitempty"`
}

// InvalidError reports that a job request is invalid.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return e.Reason }

// Request describes a job to create.
type Request struct {
	Template string            `json:"template"`
	Params   map[string]string `json:"params,omitempty"`
	Tasks    int               `json:"tasks,omitempty"` // 0 for the number in the template
	Start    time.Time         `json:"start,omitzero"`
}

// New returns a job of unit for an account, based on a configuration revision. It returns
// an InvalidError if the request is invalid.
func New(unit string, r Request, account config.Account, rev config.Revision, now time.Time) (Job, error) {
	t, known := rev.Set.Templates[r.Template]
	if !known {
		return Job{}, &InvalidError{fmt.Sprintf("there is no template %q; list the available templates with 'chutereach status'", r.Template)}
	}
	if !mayUseTemplate(account, t.Name) {
		return Job{}, &InvalidError{fmt.Sprintf("account %s is not permitted to use template %s", account.Name, t.Name)}
	}
	params, err := mergeParams(t, account.Params, r.Params)
	if err != nil {
		return Job{}, err
	}
	tasks := r.Tasks
	if tasks == 0 {
		tasks = t.Tasks
	}
	if tasks < 1 || tasks > config.MaxTasks {
		return Job{}, &InvalidError{fmt.Sprintf("number of tasks must be between 1 and %d, got %d", config.MaxTasks, tasks)}
	}
	return Job{
		ID: NewID(unit), Account: account.Name, Template: t, Scoring: rev.Set.Policies[t.Policy].Scoring,
		Params: params, Tasks: tasks, Created: now, Start: r.Start, Revision: rev.Number,
	}, nil
}

// mayUseTemplate reports whether a lists template or has no list of templates.
func mayUseTemplate(a config.Account, template string) bool {
	for _, t := range a.Templates {
		if t == template {
			return true
		}
	}
	return len(a.Templates) == 0
}

// mergeParams returns the values of the template's parameters and inputs. Parameters come
// from the account unless the request overrides them; inputs come from the request. Unknown
// names in the request are rejected because they are probably misspelled.
func mergeParams(t config.Template, account, request map[string]string) (map[string]string, error) {
	params := map[string]string{}
	for _, p := range t.Params {
		v, given := request[p]
		if !given {
			v, given = account[p]
		}
		if !given {
			return nil, &InvalidError{fmt.Sprintf("template %s requires parameter %q, which neither the account nor the request sets", t.Name, p)}
		}
		params[p] = v
	}
	for _, p := range t.Inputs {
		v, given := request[p]
		if !given {
			return nil, &InvalidError{fmt.Sprintf("template %s requires input %q, which the request does not set", t.Name, p)}
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

// WithStopped returns j marked as stopped.
func (j Job) WithStopped() Job {
	j.Stopped = true
	return j
}

// WithTemplate returns the job of a service with a new version of its template. The caller
// replaces the running replicas.
func (j Job) WithTemplate(t config.Template, scoring config.Scoring, account config.Account, revision uint64) (Job, error) {
	params, err := mergeParams(t, account.Params, nil)
	if err != nil {
		return j, err
	}
	j.Template, j.Scoring, j.Params, j.Revision = t, scoring, params, revision
	return j, nil
}

// Key returns the table key of j.
func (j Job) Key() string { return Key(j.ID) }

// Key returns the table key of the job with the given ID.
func Key(id ID) string { return Prefix(id.Unit()) + string(id) }

// Prefix returns the key prefix of a unit's jobs.
func Prefix(unit string) string { return "job/" + unit + "/" }

// InboxPrefix returns the key prefix of a unit's inbox. The inbox holds submitted jobs that
// the unit's owner may not have accepted yet.
func InboxPrefix(unit string) string { return "inbox/" + unit + "/" }

// InboxKey returns the key of a job in the inbox of its unit.
func InboxKey(id ID) string { return InboxPrefix(id.Unit()) + string(id) }

// Encode returns the table row of j.
func (j Job) Encode() []byte { return codec.MustMarshal(j) }

// Decode decodes the table row of a job.
func Decode(row []byte) (Job, error) {
	var j Job
	err := codec.Unmarshal(row, &j)
	return j, err
}

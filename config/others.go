package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"chutereach/account"
	"chutereach/resource"
)

// Safety says how often a request may run.
type Safety string

// How often a request may run.
const (
	SafeRepeat Safety = "repeat" // as often as need be: it only reads
	SafeKeyed  Safety = "keyed"  // once; the caller names it by an Idempotency-Key
	SafeTicket Safety = "ticket" // once; the caller names it by a ticket of a box
)

// Route is one kind of interactive request and the service that answers it.
type Route struct {
	Name     string        `json:"name"`
	Service  string        `json:"service"` // template
	Path     string        `json:"path"`    // at the upstream
	Class    Class         `json:"class"`
	Safety   Safety        `json:"safety"`
	Deadline time.Duration `json:"deadline"` // from the request's arrival
	Queue    int           `json:"queue"`    // requests that may wait at one box
}

const (
	maxDeadline = 10 * time.Minute
	maxQueue    = 1_000_000
)

// Check returns every rule that r breaks by itself.
func (r Route) Check() []*InvalidError {
	c := checker{kind: KindRoute, name: r.Name}
	c.want(validName.MatchString(r.Name), "name", "must be lower-case letters, digits and hyphens, 63 at most")
	c.want(len(r.Path) > 0 && r.Path[0] == '/', "path", "must begin with /")
	c.want(r.Class.Rank() >= 0, "class", "must be urgent, service or batch")
	c.want(r.Safety == SafeRepeat || r.Safety == SafeKeyed || r.Safety == SafeTicket,
		"safety", "must be repeat, keyed or ticket")
	c.want(r.Deadline > 0 && r.Deadline <= maxDeadline, "deadline", "must be up to %v", maxDeadline)
	c.want(r.Queue >= 1 && r.Queue <= maxQueue, "queue", "must be 1 to %d", maxQueue)
	return c.errs
}

// Scoring names how a policy chooses among the workers that have room.
type Scoring string

// The ways to choose a worker.
const (
	ScoreWaiting Scoring = "waiting" // spread, so that the next task finds room anywhere
	ScorePacking Scoring = "packing" // fill, so that whole workers stay free
)

// Policy is how work is ordered and placed.
type Policy struct {
	Name    string        `json:"name"`
	Scoring Scoring       `json:"scoring"`
	Ageing  time.Duration `json:"ageing"` // after which waiting work goes a class up
}

// Check returns every rule that p breaks by itself.
func (p Policy) Check() []*InvalidError {
	c := checker{kind: KindPolicy, name: p.Name}
	c.want(validName.MatchString(p.Name), "name", "must be lower-case letters, digits and hyphens, 63 at most")
	c.want(p.Scoring == ScoreWaiting || p.Scoring == ScorePacking, "scoring", "must be waiting or packing")
	c.want(p.Ageing >= 0, "ageing", "must not be negative")
	return c.errs
}

// Account is a customer whose jobs and services are created from templates.
type Account struct {
	Name      string            `json:"name"`
	Quota     account.Quota     `json:"quota"`
	Templates []string          `json:"templates,omitempty"`
	Params    map[string]string `json:"params,omitempty"`
	TokenHash string            `json:"token_hash,omitempty"` // SHA-256 in hex
}

// Check returns every rule that a breaks by itself.
func (a Account) Check() []*InvalidError {
	c := checker{kind: KindAccount, name: a.Name}
	c.want(validName.MatchString(a.Name), "name", "must be lower-case letters, digits and hyphens, 63 at most")
	c.want(resource.Amount(a.Quota).Valid(), "quota", "must not be negative")
	sum, err := hex.DecodeString(a.TokenHash)
	c.want(err == nil && len(sum) == sha256.Size, "token-sha256", "must be a SHA-256 in 64 hexadecimal digits")
	return c.errs
}

// HashToken returns a token as accounts keep it.
func HashToken(token string) string {
	digest := account.DigestOf(token)
	return hex.EncodeToString(digest[:])
}

// Admits reports whether a token with this hash is a's, in a time that does not
// tell how much of it is right.
func (a Account) Admits(hash string) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(a.TokenHash)) == 1
}

// Hall is a data hall and the number of units into which its racks are split.
type Hall struct {
	Name  string `json:"name"`
	Units int    `json:"units"`
}

const maxUnits = 64

// Check returns every rule that h breaks by itself.
func (h Hall) Check() []*InvalidError {
	c := checker{kind: KindHall, name: h.Name}
	c.want(validName.MatchString(h.Name), "name", "must be lower-case letters, digits and hyphens, 63 at most")
	c.want(h.Units >= 1 && h.Units <= maxUnits, "units", "must be 1 to %d", maxUnits)
	return c.errs
}

// Target says what a drain takes out.
type Target string

// What a drain can take out.
const (
	TargetWorker Target = "worker"
	TargetRack   Target = "rack"
	TargetHall   Target = "hall"
	TargetBox    Target = "box"
)

// Drain takes a machine or a group of them out of use until it is undone. Its
// Name is what it drains, as in "worker/chipre-07".
type Drain struct {
	Target Target    `json:"target"`
	Name   string    `json:"name"`
	Until  time.Time `json:"until"` // when its work must have left
}

// Key names d among the drains of a Set.
func (d Drain) Key() string { return string(d.Target) + "/" + d.Name }

// Check returns every rule that d breaks by itself.
func (d Drain) Check() []*InvalidError {
	c := checker{kind: KindDrain, name: d.Key()}
	known := d.Target == TargetWorker || d.Target == TargetRack || d.Target == TargetHall || d.Target == TargetBox
	c.want(known, "target", "must be worker, rack, hall or box")
	c.want(d.Name != "", "name", "must not be empty")
	return c.errs
}

package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"chutereach/account"
	"chutereach/resource"
)

// Safety is the guarantee on how often a request may run.
type Safety string

// The safety levels of a route.
const (
	SafeRepeat Safety = "repeat" // any number of times, because it only reads
	SafeKeyed  Safety = "keyed"  // at most once per Idempotency-Key of the caller
	SafeTicket Safety = "ticket" // at most once per ticket issued by a box
)

// Route maps a kind of interactive request to the service that answers it.
type Route struct {
	Name     string        `json:"name"`
	Service  string        `json:"service"` // name of the service's template
	Path     string        `json:"path"`    // at the upstream
	Class    Class         `json:"class"`
	Safety   Safety        `json:"safety"`
	Deadline time.Duration `json:"deadline"` // measured from the request's arrival
	Queue    int           `json:"queue"`    // maximum number of queued requests per box
}

const (
	maxDeadline = 10 * time.Minute
	maxQueue    = 1_000_000
)

// Check returns the rules that r violates, without regard to other declarations.
func (r Route) Check() []*InvalidError {
	c := checker{kind: KindRoute, name: r.Name}
	c.require(validName.MatchString(r.Name), "name", "must be lower-case letters, digits and hyphens, 63 at most")
	c.require(len(r.Path) > 0 && r.Path[0] == '/', "path", "must begin with /")
	c.require(r.Class.Rank() >= 0, "class", "must be urgent, service or batch")
	c.require(r.Safety == SafeRepeat || r.Safety == SafeKeyed || r.Safety == SafeTicket,
		"safety", "must be repeat, keyed or ticket")
	c.require(r.Deadline > 0 && r.Deadline <= maxDeadline, "deadline", "must be up to %v", maxDeadline)
	c.require(r.Queue >= 1 && r.Queue <= maxQueue, "queue", "must be 1 to %d", maxQueue)
	return c.errs
}

// Scoring is the method by which a policy chooses among the workers with enough room.
type Scoring string

// The scoring methods.
const (
	ScoreWaiting Scoring = "waiting" // spreads tasks, so that the next task finds room on any worker
	ScorePacking Scoring = "packing" // fills workers one by one, so that whole workers stay free
)

// Policy defines how work is ordered and placed.
type Policy struct {
	Name    string        `json:"name"`
	Scoring Scoring       `json:"scoring"`
	Ageing  time.Duration `json:"ageing"` // wait after which work competes with the next higher class
}

// Check returns the rules that p violates, without regard to other declarations.
func (p Policy) Check() []*InvalidError {
	c := checker{kind: KindPolicy, name: p.Name}
	c.require(validName.MatchString(p.Name), "name", "must be lower-case letters, digits and hyphens, 63 at most")
	c.require(p.Scoring == ScoreWaiting || p.Scoring == ScorePacking, "scoring", "must be waiting or packing")
	c.require(p.Ageing >= 0, "ageing", "must not be negative")
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

// Check returns the rules that a violates, without regard to other declarations.
func (a Account) Check() []*InvalidError {
	c := checker{kind: KindAccount, name: a.Name}
	c.require(validName.MatchString(a.Name), "name", "must be lower-case letters, digits and hyphens, 63 at most")
	c.require(resource.Amount(a.Quota).Valid(), "quota", "must not be negative")
	sum, err := hex.DecodeString(a.TokenHash)
	c.require(err == nil && len(sum) == sha256.Size, "token-sha256", "must be a SHA-256 in 64 hexadecimal digits")
	return c.errs
}

// HashToken returns the hash of a token in the format of Account.TokenHash.
func HashToken(token string) string {
	digest := account.DigestOf(token)
	return hex.EncodeToString(digest[:])
}

// HasTokenHash reports whether hash is the hash of a's token. The comparison takes
// constant time to prevent timing attacks.
func (a Account) HasTokenHash(hash string) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(a.TokenHash)) == 1
}

// Hall is a data hall. Its racks are divided among a number of units.
type Hall struct {
	Name  string `json:"name"`
	Units int    `json:"units"`
}

const maxUnits = 64

// Check returns the rules that h violates, without regard to other declarations.
func (h Hall) Check() []*InvalidError {
	c := checker{kind: KindHall, name: h.Name}
	c.require(validName.MatchString(h.Name), "name", "must be lower-case letters, digits and hyphens, 63 at most")
	c.require(h.Units >= 1 && h.Units <= maxUnits, "units", "must be 1 to %d", maxUnits)
	return c.errs
}

// Target is the kind of machine or group that a drain takes out of use.
type Target string

// The targets of a drain.
const (
	TargetWorker Target = "worker"
	TargetRack   Target = "rack"
	TargetHall   Target = "hall"
	TargetBox    Target = "box"
)

// Drain takes a machine or a group of machines out of use until the drain is removed.
// Target and Name identify them, as in the key "worker/chipre-07".
type Drain struct {
	Target Target    `json:"target"`
	Name   string    `json:"name"`
	Until  time.Time `json:"until"` // deadline for its work to end or move
}

// Key returns the key of d in Set.Drains.
func (d Drain) Key() string { return string(d.Target) + "/" + d.Name }

// Check returns the rules that d violates, without regard to other declarations.
func (d Drain) Check() []*InvalidError {
	c := checker{kind: KindDrain, name: d.Key()}
	known := d.Target == TargetWorker || d.Target == TargetRack || d.Target == TargetHall || d.Target == TargetBox
	c.require(known, "target", "must be worker, rack, hall or box")
	c.require(d.Name != "", "name", "must not be empty")
	return c.errs
}

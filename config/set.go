package config

import (
	"maps"
	"slices"
	"time"
)

// Set holds all declarations of one revision.
type Set struct {
	Templates map[string]Template `json:"templates"`
	Routes    map[string]Route    `json:"routes"`
	Policies  map[string]Policy   `json:"policies"`
	Accounts  map[string]Account  `json:"accounts"`
	Halls     map[string]Hall     `json:"halls"`
	Drains    map[string]Drain    `json:"drains,omitempty"`
}

// NewSet returns an empty Set.
func NewSet() Set {
	return Set{
		Templates: map[string]Template{},
		Routes:    map[string]Route{},
		Policies:  map[string]Policy{},
		Accounts:  map[string]Account{},
		Halls:     map[string]Hall{},
		Drains:    map[string]Drain{},
	}
}

// Check returns all rules that s violates: those of each declaration, and those on the
// references between declarations.
func (s Set) Check() []*InvalidError {
	var errs []*InvalidError
	for _, t := range sortedByKey(s.Templates) {
		errs = append(errs, t.Check()...)
		errs = append(errs, s.checkTemplate(t)...)
	}
	for _, r := range sortedByKey(s.Routes) {
		errs = append(errs, r.Check()...)
		errs = append(errs, s.checkRoute(r)...)
	}
	for _, p := range sortedByKey(s.Policies) {
		errs = append(errs, p.Check()...)
	}
	accountByTokenHash := map[string]string{}
	for _, a := range sortedByKey(s.Accounts) {
		errs = append(errs, a.Check()...)
		errs = append(errs, s.checkAccount(a)...)
		if other, duplicate := accountByTokenHash[a.TokenHash]; duplicate {
			errs = append(errs, &InvalidError{KindAccount, a.Name, "token-sha256", "account " + other + " has the same token"})
		}
		accountByTokenHash[a.TokenHash] = a.Name
	}
	for _, h := range sortedByKey(s.Halls) {
		errs = append(errs, h.Check()...)
	}
	for _, d := range sortedByKey(s.Drains) {
		errs = append(errs, d.Check()...)
	}
	return errs
}

func (s Set) checkTemplate(t Template) []*InvalidError {
	c := checker{kind: KindTemplate, name: t.Name}
	_, known := s.Policies[t.Policy]
	c.require(known, "policy", "there is no policy %q", t.Policy)
	for _, h := range t.Halls {
		_, known := s.Halls[h]
		c.require(known, "halls", "there is no hall %q", h)
	}
	return c.errs
}

func (s Set) checkRoute(r Route) []*InvalidError {
	c := checker{kind: KindRoute, name: r.Name}
	t, known := s.Templates[r.Service]
	c.require(known, "service", "there is no template %q", r.Service)
	c.require(!known || t.Form == FormService, "service", "template %q is not a service", r.Service)
	return c.errs
}

func (s Set) checkAccount(a Account) []*InvalidError {
	c := checker{kind: KindAccount, name: a.Name}
	for _, name := range a.Templates {
		t, known := s.Templates[name]
		c.require(known, "templates", "there is no template %q", name)
		for _, p := range t.Params {
			_, given := a.Params[p]
			c.require(given, "param", "template %s needs the parameter %q", name, p)
		}
	}
	return c.errs
}

// WithDrain returns s with d added.
func (s Set) WithDrain(d Drain) Set {
	s.Drains = maps.Clone(s.Drains)
	if s.Drains == nil {
		s.Drains = map[string]Drain{}
	}
	s.Drains[d.Key()] = d
	return s
}

// WithoutDrain returns s without the drain that has the given key.
func (s Set) WithoutDrain(key string) Set {
	s.Drains = maps.Clone(s.Drains)
	delete(s.Drains, key)
	return s
}

// Drained reports whether a drain applies to the worker, its rack or its hall.
func (s Set) Drained(worker, rack, hall string) bool {
	for _, d := range s.Drains {
		switch d.Target {
		case TargetWorker:
			if d.Name == worker {
				return true
			}
		case TargetRack:
			if d.Name == rack {
				return true
			}
		case TargetHall:
			if d.Name == hall {
				return true
			}
		}
	}
	return false
}

// sortedByKey returns the values of m, ordered by key.
func sortedByKey[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

// Revision is an accepted Set with its number, author and time.
type Revision struct {
	Number  uint64    `json:"number"`
	Set     Set       `json:"set"`
	Author  string    `json:"author"`
	Message string    `json:"message,omitempty"`
	At      time.Time `json:"at"`
}

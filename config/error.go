package config

import "fmt"

// Kind is a kind of declaration.
type Kind string

// The kinds of declaration, as used in section headers.
const (
	KindTemplate Kind = "template"
	KindRoute    Kind = "route"
	KindPolicy   Kind = "policy"
	KindAccount  Kind = "account"
	KindHall     Kind = "hall"
	KindDrain    Kind = "drain"
)

// InvalidError reports a key of a declaration that violates a rule.
type InvalidError struct {
	Kind   Kind
	Name   string
	Key    string
	Reason string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s %s: %s: %s", e.Kind, e.Name, e.Key, e.Reason)
}

// checker collects the rule violations of one declaration.
type checker struct {
	kind Kind
	name string
	errs []*InvalidError
}

// require records a violation of a rule by key unless ok.
func (c *checker) require(ok bool, key, format string, args ...any) {
	if ok {
		return
	}
	c.errs = append(c.errs, &InvalidError{c.kind, c.name, key, fmt.Sprintf(format, args...)})
}

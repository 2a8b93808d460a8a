package config

import "fmt"

// Kind names a kind of declaration.
type Kind string

// The kinds of declaration, as they stand in section headers.
const (
	KindTemplate Kind = "template"
	KindRoute    Kind = "route"
	KindPolicy   Kind = "policy"
	KindAccount  Kind = "account"
	KindHall     Kind = "hall"
	KindDrain    Kind = "drain"
)

// InvalidError says which key of which declaration breaks which rule.
type InvalidError struct {
	Kind   Kind
	Name   string
	Key    string
	Reason string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s %s: %s: %s", e.Kind, e.Name, e.Key, e.Reason)
}

// checker collects the broken rules of one declaration.
type checker struct {
	kind Kind
	name string
	errs []*InvalidError
}

// want records that key breaks a rule unless ok.
func (c *checker) want(ok bool, key, format string, args ...any) {
	if ok {
		return
	}
	c.errs = append(c.errs, &InvalidError{c.kind, c.name, key, fmt.Sprintf(format, args...)})
}

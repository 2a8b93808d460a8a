package declare

import (
	"fmt"
	"strings"
)

// list is a comma-separated list of names.
type list []string

// UnmarshalFlag reads l from a setting.
func (l *list) UnmarshalFlag(text string) error {
	for item := range strings.SplitSeq(text, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			return &ListError{text}
		}
		*l = append(*l, item)
	}
	return nil
}

// ListError says that a list has an empty item.
type ListError struct{ Text string }

func (e *ListError) Error() string { return fmt.Sprintf("%q has an empty item", e.Text) }

// pairs is a comma-separated list of name:value.
type pairs map[string]string

// UnmarshalFlag reads p from a setting.
func (p *pairs) UnmarshalFlag(text string) error {
	m := pairs{}
	for item := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(item), ":")
		if !found || name == "" {
			return &PairError{item}
		}
		m[name] = value
	}
	*p = m
	return nil
}

// PairError says that an item is not name:value.
type PairError struct{ Item string }

func (e *PairError) Error() string { return fmt.Sprintf("%q is not name:value", e.Item) }

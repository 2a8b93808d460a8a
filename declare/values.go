package declare

import (
	"fmt"
	"strings"
)

// stringList is a comma-separated list of names.
type stringList []string

// UnmarshalFlag parses the text of a setting.
func (l *stringList) UnmarshalFlag(text string) error {
	for item := range strings.SplitSeq(text, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			return &ListError{text}
		}
		*l = append(*l, item)
	}
	return nil
}

// ListError reports a list with an empty item.
type ListError struct{ Text string }

func (e *ListError) Error() string { return fmt.Sprintf("%q has an empty item", e.Text) }

// stringMap is a comma-separated list of name:value pairs.
type stringMap map[string]string

// UnmarshalFlag parses the text of a setting.
func (p *stringMap) UnmarshalFlag(text string) error {
	m := stringMap{}
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

// PairError reports an item that is not a name:value pair.
type PairError struct{ Item string }

func (e *PairError) Error() string { return fmt.Sprintf("%q is not name:value", e.Item) }

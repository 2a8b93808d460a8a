package guard

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
)

// Bound is the policy of how many elements a value in a request may have.
type Bound interface{ Max() int }

// TooManyError is returned when a value in a request has more than Max elements.
type TooManyError struct{ Max int }

func (e *TooManyError) Error() string {
	return fmt.Sprintf("list or map with more than %d elements", e.Max)
}

// List is a list that is decoded from JSON up to its bound. A list of short elements takes many times the
// memory of its text.
type List[T any, B Bound] []T

// UnmarshalJSON implements json.Unmarshaler.
func (l *List[T, B]) UnmarshalJSON(text []byte) error {
	var bound B
	*l = nil
	return EachElement(text, func(element T) error {
		if len(*l) == bound.Max() {
			return &TooManyError{bound.Max()}
		}
		*l = append(*l, element)
		return nil
	})
}

// EachElement decodes the elements of a JSON list one after the other and calls use with each. It stops at the
// first error.
func EachElement[T any](text []byte, use func(T) error) error {
	return eachMember[[]T](text, '[', func(d *json.Decoder) error {
		var element T
		if err := d.Decode(&element); err != nil {
			return err
		}
		return use(element)
	})
}

// Map is a map that is decoded from JSON up to its bound.
type Map[V any, B Bound] map[string]V

// UnmarshalJSON implements json.Unmarshaler.
func (m *Map[V, B]) UnmarshalJSON(text []byte) error {
	var bound B
	*m = nil
	return eachMember[map[string]V](text, '{', func(d *json.Decoder) error {
		if len(*m) == bound.Max() {
			return &TooManyError{bound.Max()}
		}
		key, err := d.Token()
		if err != nil {
			return err
		}
		var value V
		if err := d.Decode(&value); err != nil {
			return err
		}
		if *m == nil {
			*m = Map[V, B]{}
		}
		(*m)[key.(string)] = value // the decoder accepts only texts as keys
		return nil
	})
}

// eachMember calls decode at each member of the JSON list or object that is to become a Kind; null has none.
func eachMember[Kind any](text []byte, opening json.Delim, decode func(*json.Decoder) error) error {
	d := json.NewDecoder(bytes.NewReader(text))
	first, err := d.Token()
	if err != nil || first == nil {
		return err
	}
	if first != opening {
		return &json.UnmarshalTypeError{Value: fmt.Sprintf("%T", first), Type: reflect.TypeFor[Kind]()}
	}
	for d.More() {
		if err := decode(d); err != nil {
			return err
		}
	}
	return nil
}

package config

import (
	"maps"
	"reflect"
	"slices"
)

// Action is the kind of a difference.
type Action string

// The actions that lead from one set to another.
const (
	Added   Action = "add"
	Changed Action = "change"
	Removed Action = "remove"
)

// Difference is one declaration that differs between two sets.
type Difference struct {
	Action Action   `json:"action"`
	Kind   Kind     `json:"kind"`
	Name   string   `json:"name"`
	Fields []string `json:"fields,omitempty"` // names of the changed fields
}

// Diff returns the differences between from and to, ordered by kind and name.
func Diff(from, to Set) []Difference {
	var d []Difference
	d = append(d, diffKind(KindTemplate, from.Templates, to.Templates)...)
	d = append(d, diffKind(KindRoute, from.Routes, to.Routes)...)
	d = append(d, diffKind(KindPolicy, from.Policies, to.Policies)...)
	d = append(d, diffKind(KindAccount, from.Accounts, to.Accounts)...)
	d = append(d, diffKind(KindHall, from.Halls, to.Halls)...)
	d = append(d, diffKind(KindDrain, from.Drains, to.Drains)...)
	return d
}

func diffKind[V any](kind Kind, from, to map[string]V) []Difference {
	names := maps.Clone(from)
	if names == nil {
		names = map[string]V{}
	}
	maps.Copy(names, to)
	var ds []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, inFrom := from[name]
		after, inTo := to[name]
		switch {
		case !inFrom:
			ds = append(ds, Difference{Action: Added, Kind: kind, Name: name})
		case !inTo:
			ds = append(ds, Difference{Action: Removed, Kind: kind, Name: name})
		default:
			if fields := changedFields(before, after); len(fields) > 0 {
				ds = append(ds, Difference{Changed, kind, name, fields})
			}
		}
	}
	return ds
}

// changedFields returns the names of the fields in which two structs of the same type
// differ. A nil list and an empty list are equal.
func changedFields(a, b any) []string {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	var names []string
	for i := range va.NumField() {
		fa, fb := va.Field(i), vb.Field(i)
		if emptyList(fa) && emptyList(fb) {
			continue
		}
		if !reflect.DeepEqual(fa.Interface(), fb.Interface()) {
			names = append(names, va.Type().Field(i).Name)
		}
	}
	return names
}

func emptyList(v reflect.Value) bool {
	return (v.Kind() == reflect.Slice || v.Kind() == reflect.Map) && v.Len() == 0
}

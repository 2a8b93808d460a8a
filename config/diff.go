package config

import (
	"maps"
	"reflect"
	"slices"
)

// Action is what a change does to one declaration.
type Action string

// What a change does to a declaration.
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
	Fields []string `json:"fields,omitempty"` // that changed
}

// Diff returns what differs between from and to, kind by kind, name by name.
func Diff(from, to Set) []Difference {
	var d []Difference
	d = append(d, diff(KindTemplate, from.Templates, to.Templates)...)
	d = append(d, diff(KindRoute, from.Routes, to.Routes)...)
	d = append(d, diff(KindPolicy, from.Policies, to.Policies)...)
	d = append(d, diff(KindAccount, from.Accounts, to.Accounts)...)
	d = append(d, diff(KindHall, from.Halls, to.Halls)...)
	d = append(d, diff(KindDrain, from.Drains, to.Drains)...)
	return d
}

func diff[V any](kind Kind, from, to map[string]V) []Difference {
	names := maps.Clone(from)
	if names == nil {
		names = map[string]V{}
	}
	maps.Copy(names, to)
	var ds []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		was, had := from[name]
		is, has := to[name]
		switch {
		case !had:
			ds = append(ds, Difference{Action: Added, Kind: kind, Name: name})
		case !has:
			ds = append(ds, Difference{Action: Removed, Kind: kind, Name: name})
		default:
			if fields := changed(was, is); len(fields) > 0 {
				ds = append(ds, Difference{Changed, kind, name, fields})
			}
		}
	}
	return ds
}

// changed names the fields in which two structs of one type differ. An absent
// list and an empty one are the same declaration.
func changed(a, b any) []string {
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

package routing

import (
	"fmt"

	"chutereach/account"
)

// Caller is who makes a call and on which route, by the table of the node that let the call
// in. The node that serves the call looks again if its table is newer.
type Caller struct {
	// Account is the name of the client account; empty for a call without one, as routes
	// that are not keyed take them.
	Account string         `cbor:"1,keyasint,omitempty"`
	Key     account.Digest `cbor:"2,keyasint"`
	Route   string         `cbor:"3,keyasint"`
	Version uint64         `cbor:"4,keyasint"` // of the table
}

// KeyFault is why a call's key does not let it in.
type KeyFault string

// The faults of keys.
const (
	KeyMissing   KeyFault = "missing"
	KeyMalformed KeyFault = "malformed"
	KeyUnknown   KeyFault = "unknown"
)

// KeyError says that a call has no key that its route takes.
type KeyError struct{ Fault KeyFault }

func (e *KeyError) Error() string { return fmt.Sprintf("the call's key is %s", e.Fault) }

// NoRouteError says that there is no such route; Route is empty if only another node knows
// which was meant.
type NoRouteError struct{ Route string }

func (e *NoRouteError) Error() string {
	if e.Route == "" {
		return "there is no such route"
	}
	return fmt.Sprintf("there is no route %q", e.Route)
}

// Identify returns who makes a call with a key on a route, and the terms of the account;
// none without one. An empty key is none. Its cost does not grow with the number of
// keys: one digest and one look into a map.
func (t Table) Identify(route Route, key string) (Caller, account.Terms, error) {
	caller := Caller{Route: route.Name(), Version: t.Version}
	if key == "" && !route.Keyed {
		return caller, account.Terms{}, nil
	}
	if key == "" {
		return caller, account.Terms{}, &KeyError{KeyMissing}
	}
	digest := account.DigestOf(key)
	terms, known := t.directory.ByKey(digest)
	switch {
	case known:
		caller.Account, caller.Key = terms.Name, digest
		return caller, terms, nil
	case !route.Keyed:
		return caller, account.Terms{}, nil
	}
	return caller, account.Terms{}, &KeyError{KeyUnknown}
}

// Recheck returns an error if a call that another node has let in may not be served by this
// table. A table that is not newer than that node's has no say.
func (t Table) Recheck(caller Caller) error {
	if t.Version <= caller.Version {
		return nil
	}
	route, ok := t.byName[caller.Route]
	if !ok {
		return &NoRouteError{caller.Route}
	}
	if !route.Keyed {
		return nil
	}
	if terms, known := t.directory.ByKey(caller.Key); !known || terms.Name != caller.Account {
		return &KeyError{KeyUnknown}
	}
	return nil
}

package routing

import (
	"fmt"

	"chutereach/account"
)

// Caller identifies the caller and the route of a call by the table of the node that admitted it. The
// node that serves the call checks it again if its own table is newer.
type Caller struct {
	// Account is the name of the client account. It is empty for a call without one, which
	// only routes that are not keyed accept.
	Account string         `cbor:"1,keyasint,omitempty"`
	Key     account.Digest `cbor:"2,keyasint"`
	Route   string         `cbor:"3,keyasint"`
	Version uint64         `cbor:"4,keyasint"` // of the table
}

// KeyFault is the reason for which the key of a call is rejected.
type KeyFault string

const (
	KeyMissing   KeyFault = "missing"
	KeyMalformed KeyFault = "malformed"
	KeyUnknown   KeyFault = "unknown"
)

// KeyError reports that a call has no valid key for its route.
type KeyError struct{ Fault KeyFault }

func (e *KeyError) Error() string {
	return fmt.Sprintf("key of the call is %s, want the key of a client account", e.Fault)
}

// NoRouteError reports that no route matches. Route is empty if another node rejected the call.
type NoRouteError struct{ Route string }

func (e *NoRouteError) Error() string {
	if e.Route == "" {
		return "no route for the call in the table of another node"
	}
	return fmt.Sprintf("no route %q in the table", e.Route)
}

// Identify returns the caller of a call with a key on a route, and the terms of its account. An empty
// key means that the call has none. On a route that is not keyed, a call without a known key has no
// account and zero terms.
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

// Recheck returns an error if this table does not admit a call that another node has admitted. Unless
// it is newer than the table of that node, it admits every call.
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

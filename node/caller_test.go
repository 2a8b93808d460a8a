package node_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"chutereach/account"
	"chutereach/routing"
	"chutereach/rowstore"
	"chutereach/rowstore/memory"
)

// Rows of a configuration that grant an account or take it away; each is a version.
const (
	grantRow  = "account/"
	revokeRow = "revoke/"
)

// withAccounts returns the table with a keyed route and the accounts that rows name. Each
// account holds the key of its name.
func withAccounts(table routing.Table, rows map[string]rowstore.Row) routing.Table {
	for name := range rows {
		holder, granted := strings.CutPrefix(name, grantRow)
		if _, revoked := rows[revokeRow+holder]; !granted || revoked {
			continue
		}
		table.Accounts = append(table.Accounts, account.Account{
			Terms: account.Terms{Name: holder, Weight: 1}, Keys: []account.Digest{account.DigestOf(holder)},
		})
	}
	if len(table.Accounts) > 0 {
		keyed := queue
		keyed.Name = "keyed"
		table.Routes = append(table.Routes, routing.Route{Host: "h", Prefix: "/keyed/", Queue: keyed, Keyed: true})
	}
	return table
}

// identify returns the caller with a key by the table of a node.
func (c *cell) identify(m *member, key string) routing.Caller {
	c.t.Helper()
	table, _ := m.Routes()
	route, _, ok := table.Match("h", "/keyed/")
	if !ok {
		c.t.Fatalf("%s has no keyed route", m.name)
	}
	caller, _, err := table.Identify(route, key)
	if err != nil {
		c.t.Fatal(err)
	}
	return caller
}

// A node that has missed a change of the configuration does not serve by the old one: the
// owner looks again at each call that comes with an older table.
func TestTheOwnerLooksAtCallersAgain(t *testing.T) {
	inCell(t, 3, func(c *cell) {
		c.configure(grantRow+"a", 0)
		c.configure(grantRow+"b", 0)
		for _, m := range c.nodes {
			c.assertInForce(m, 3, time.Second)
		}
		before := c.identify(c.owner(), "a")
		if _, err := c.nodes[2].Node.State(c.ctx, before, "unknown"); isKeyError(err) {
			t.Errorf("a caller whose key is there: %v", err)
		}
		c.configure(revokeRow+"a", 0)
		c.assertInForce(c.owner(), 4, time.Second)
		for _, m := range c.nodes {
			if m.Owns() {
				continue
			}
			if _, err := m.Node.State(c.ctx, before, "unknown"); !isKeyError(err) {
				t.Errorf("%s, state: %v, want KeyError", m.name, err)
			}
			if err := m.Node.Cancel(c.ctx, before, "unknown"); !isKeyError(err) {
				t.Errorf("%s, cancel: %v, want KeyError", m.name, err)
			}
			if _, err := m.Node.Pending(c.ctx, before, "keyed"); !isKeyError(err) {
				t.Errorf("%s, pending: %v, want KeyError", m.name, err)
			}
			if _, err := m.Node.Pending(c.ctx, c.identify(m, "b"), "keyed"); err != nil {
				t.Errorf("%s, pending for an account that is there: %v", m.name, err)
			}
		}
	})
}

func isKeyError(err error) bool {
	var noKey *routing.KeyError
	return errors.As(err, &noKey)
}

// A node knows whether its table is the newest: from the store, and without it from the
// owner's heartbeats. One that hears neither turns nobody away.
func TestANodeKnowsHowOldItsTableIs(t *testing.T) {
	inCell(t, 3, func(c *cell) {
		c.configure(grantRow+"a", 0)
		other := c.nodes[0]
		if other.Owns() {
			other = c.nodes[1]
		}
		c.assertInForce(other, 2, time.Second)
		wantCurrent(t, "at rest", other, true)
		other.caller.SetFault(func(bool) memory.Fault { return memory.Fault{Silent: true} })
		time.Sleep(10 * time.Second)
		wantCurrent(t, "without the store", other, true)
		c.configure(grantRow+"b", 0)
		c.assertInForce(other, 3, 2*time.Second)
		wantCurrent(t, "after a change that only the owner tells", other, true)
		for _, m := range c.nodes {
			c.network.Cut(m.name, other.name)
			c.network.Cut(other.name, m.name)
		}
		time.Sleep(3 * time.Second)
		wantCurrent(t, "without the owner too", other, false)
		other.caller.SetFault(nil)
		time.Sleep(4 * time.Second)
		wantCurrent(t, "with the store again", other, true)
	})
}

func wantCurrent(t *testing.T, when string, m *member, want bool) {
	t.Helper()
	if got := m.TableIsCurrent(); got != want {
		t.Errorf("%s: current %v, want %v", when, got, want)
	}
}

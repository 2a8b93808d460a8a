package routing_test

import (
	"errors"
	"fmt"
	"testing"

	"chutereach/account"
	"chutereach/routing"
	"chutereach/workload"
)

// testTable returns a table with a keyed and an open route, and accounts with keys derived from their
// names.
func testTable(version uint64, accounts ...string) routing.Table {
	table := routing.Table{Version: version, Routes: []routing.Route{
		{Host: "h", Prefix: "/keyed/", Queue: workload.Queue{Name: "keyed"}, Keyed: true},
		{Host: "h", Prefix: "/open/", Queue: workload.Queue{Name: "open"}},
	}}
	for _, name := range accounts {
		table.Accounts = append(table.Accounts, account.Account{
			Terms: account.Terms{Name: name, Weight: 1}, Keys: []account.Digest{account.DigestOf("key of " + name)},
		})
	}
	return table.WithIndex()
}

func TestIdentify(t *testing.T) {
	cases := []struct {
		path, key, account string
		fault              routing.KeyFault
	}{
		{"/keyed/", "key of a", "a", ""},
		{"/keyed/", "key of b", "", routing.KeyUnknown},
		{"/keyed/", "", "", routing.KeyMissing},
		{"/open/", "key of a", "a", ""},
		{"/open/", "key of b", "", ""},
		{"/open/", "", "", ""},
	}
	table := testTable(7, "a")
	for _, test := range cases {
		t.Run(test.path+test.key, func(t *testing.T) {
			route, _, _ := table.Match("h", test.path)
			caller, terms, err := table.Identify(route, test.key)
			wantFault(t, err, test.fault)
			if err == nil && (caller.Account != test.account || terms.Name != test.account || caller.Version != 7) {
				t.Errorf("caller %+v, terms %+v, want account %q", caller, terms, test.account)
			}
		})
	}
}

func wantFault(t *testing.T, err error, want routing.KeyFault) {
	t.Helper()
	var fault *routing.KeyError
	switch {
	case want == "" && err != nil:
		t.Errorf("got error %v, want none", err)
	case want != "" && (!errors.As(err, &fault) || fault.Fault != want):
		t.Errorf("got error %v, want KeyError with fault %s", err, want)
	}
}

func TestRecheck(t *testing.T) {
	identified := func(path, key string) routing.Caller {
		table := testTable(7, "a", "b")
		route, _, _ := table.Match("h", path)
		caller, _, err := table.Identify(route, key)
		if err != nil {
			t.Fatal(err)
		}
		return caller
	}
	reassigned := testTable(8, "a")
	reassigned.Accounts[0].Terms.Name = "c"
	nowKeyed := testTable(8, "a")
	nowKeyed.Routes[1].Keyed = true
	withoutKeyed := testTable(8, "a", "b")
	withoutKeyed.Routes = withoutKeyed.Routes[1:]
	cases := []struct {
		name    string
		caller  routing.Caller
		table   routing.Table
		fault   routing.KeyFault
		noRoute bool
	}{
		{"the same table", identified("/keyed/", "key of a"), testTable(7), "", false},
		{"an older table without the key", identified("/keyed/", "key of a"), testTable(6), "", false},
		{"a newer table with the key", identified("/keyed/", "key of a"), testTable(8, "a"), "", false},
		{"a newer table without the key", identified("/keyed/", "key of b"), testTable(8, "a"), routing.KeyUnknown, false},
		{"the key is another account's", identified("/keyed/", "key of a"), reassigned.WithIndex(), routing.KeyUnknown, false},
		{"the route was removed", identified("/keyed/", "key of a"), withoutKeyed.WithIndex(), "", true},
		{"the route was open", identified("/open/", ""), nowKeyed.WithIndex(), routing.KeyUnknown, false},
		{"the route is open", identified("/open/", ""), testTable(8), "", false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			err := test.table.Recheck(test.caller)
			var noRoute *routing.NoRouteError
			if test.noRoute {
				if !errors.As(err, &noRoute) {
					t.Errorf("got error %v, want NoRouteError", err)
				}
				return
			}
			wantFault(t, err, test.fault)
		})
	}
}

// BenchmarkIdentify measures key lookups by the number of accounts, with three keys each.
func BenchmarkIdentify(b *testing.B) {
	for _, count := range []int{1, 20, 1000, 100_000} {
		table := routing.Table{Version: 1, Routes: []routing.Route{{Host: "h", Prefix: "/", Keyed: true}}}
		for i := range count {
			a := account.Account{Terms: account.Terms{Name: fmt.Sprint(i), Weight: 1}}
			for k := range 3 {
				a.Keys = append(a.Keys, account.DigestOf(fmt.Sprintf("gkcuyj8pjbvk9m68-%d-%d", i, k)))
			}
			table.Accounts = append(table.Accounts, a)
		}
		table = table.WithIndex()
		route := table.Routes[0]
		b.Run(fmt.Sprintf("%d accounts", count), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, _, err := table.Identify(route, fmt.Sprintf("gkcuyj8pjbvk9m68-%d-1", i%count)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

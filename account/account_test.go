package account_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"chutereach/account"
	"chutereach/resource"
)

func amount(t *rapid.T, name string, low, high int64) resource.Amount {
	return resource.Amount{
		CPU:          resource.MilliCPU(rapid.Int64Range(low, high).Draw(t, name+" cpu")),
		Memory:       resource.Bytes(rapid.Int64Range(low, high).Draw(t, name+" memory")),
		Accelerators: rapid.Int64Range(low, high).Draw(t, name+" accelerators"),
	}
}

// Guards against a task count that differs from checking the tasks against the quota one by one.
func TestAdditionalTasksMatchAllows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := account.Quota(amount(t, "quota", -2, 40))
		used := amount(t, "used", 0, 30)
		need := amount(t, "need", 0, 7)
		limit := rapid.IntRange(0, 9).Draw(t, "limit")
		got := quota.AdditionalTasks(used, need, limit)
		if got < 0 || got > limit {
			t.Fatalf("%d additional tasks, want 0 to %d", got, limit)
		}
		if !quota.Allows(used) {
			return // the account is over quota already
		}
		if got > 0 && !quota.Allows(used.Plus(need.Times(int64(got)))) {
			t.Fatalf("%d additional tasks, but the quota does not allow them", got)
		}
		if got < limit && quota.Allows(used.Plus(need.Times(int64(got+1)))) {
			t.Fatalf("%d additional tasks, but the quota allows one more", got)
		}
	})
}

func TestQuotaPerResource(t *testing.T) {
	need := resource.Amount{CPU: 2, Memory: 3}
	cases := []struct {
		name  string
		quota account.Quota
		used  resource.Amount
		want  int
	}{
		{"unlimited", account.Quota{}, resource.Amount{CPU: 1 << 40}, 5},
		{"CPU limit", account.Quota{CPU: 5}, resource.Amount{}, 2},
		{"memory limit", account.Quota{CPU: 50, Memory: 5}, resource.Amount{}, 1},
		{"partly in use", account.Quota{CPU: 5}, resource.Amount{CPU: 4}, 0},
		{"over the limit", account.Quota{CPU: 5}, resource.Amount{CPU: 9}, 0},
		{"over the limit of a resource that is not needed", account.Quota{Accelerators: 1}, resource.Amount{Accelerators: 9}, 5},
		{"negative limit", account.Quota{Memory: -1}, resource.Amount{}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := test.quota.AdditionalTasks(test.used, need, 5); got != test.want {
				t.Errorf("%d additional tasks, want %d", got, test.want)
			}
		})
	}
}

func TestDirectory(t *testing.T) {
	terms := func(name string, weight float64) account.Terms { return account.Terms{Name: name, Weight: weight} }
	d := account.NewDirectory([]account.Account{
		{Terms: terms("a", 1), Keys: []account.Digest{account.DigestOf("k1"), account.DigestOf("k2")}},
		{Terms: terms("b", 2), Keys: []account.Digest{account.DigestOf("k2"), account.DigestOf("k3")}},
		{Terms: terms("a", 9), Keys: []account.Digest{account.DigestOf("k4")}},
	})
	cases := []struct{ key, want string }{{"k1", "a"}, {"k2", "a"}, {"k3", "b"}, {"k4", "a"}, {"k5", ""}, {"", ""}}
	for _, test := range cases {
		got, known := d.ByKey(account.DigestOf(test.key))
		if got.Name != test.want || known != (test.want != "") {
			t.Errorf("key %q: got account %q, want %q", test.key, got.Name, test.want)
		}
	}
	if got, _ := d.ByName("a"); got.Weight != 1 {
		t.Errorf("account a has terms %+v, want those of the first account of that name", got)
	}
	if _, known := (account.Directory{}).ByKey(account.DigestOf("k1")); known || d.Len() != 2 {
		t.Errorf("the zero directory knows a key, or Len() = %d, want 2", d.Len())
	}
}

func TestDigestsAreRedacted(t *testing.T) {
	digest := account.DigestOf("secret")
	for _, text := range []string{fmt.Sprint(digest), fmt.Sprintf("%v", account.Account{Keys: []account.Digest{digest}})} {
		if strings.Contains(text, fmt.Sprint(digest[0])) || strings.Contains(text, "secret") {
			t.Errorf("digest or key appears in %q", text)
		}
	}
}

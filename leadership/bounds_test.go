package leadership_test

import (
	"testing"
	"testing/synctest"

	"chutereach/codec"
	"chutereach/leadership"
	"chutereach/rowstore"
	"chutereach/rowstore/memory"
)

// takeAsEarlierBuild makes a node of a build that keeps no lease bounds the owner.
func takeAsEarlierBuild(t *testing.T, store rowstore.Store) uint64 {
	t.Helper()
	key := rowstore.Key{Table: "shards", Partition: shard, Name: "owner"}
	row, err := rowstore.ReadOne(t.Context(), store, key)
	if err != nil {
		t.Fatal(err)
	}
	value := codec.MustMarshal(leadership.Row{Node: "earlier", Term: "earlier", Sequence: 1})
	version, err := store.Commit(t.Context(), rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key, Version: row.Version}}, Puts: []rowstore.Put{{Key: key, Value: value}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// Guards against lease bounds that are taken as valid although an owner in between has extended leases without withdrawing
// any: they are valid as of the first owner after it.
func TestBoundsSinceLastOwnerOfEarlierBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		caller := store.NewClient()
		first := take(t, caller, "a")
		assertBoundsSince(t, take(t, caller, "b"), first.BoundsSince())
		if first.BoundsSince() > first.Token() {
			t.Errorf("bounds of the first owner count from %d on, want at most its token %d", first.BoundsSince(), first.Token())
		}
		earlier := takeAsEarlierBuild(t, caller)
		for _, node := range []string{"a", "b"} {
			assertBoundsSince(t, take(t, caller, node), earlier+1)
		}
	})
}

func assertBoundsSince(t *testing.T, term *leadership.Term, want uint64) {
	t.Helper()
	if got := term.BoundsSince(); got != want {
		t.Errorf("BoundsSince() = %d, want %d", got, want)
	}
	if term.Token() < want {
		t.Errorf("token %d, want at least BoundsSince, %d", term.Token(), want)
	}
}

// Guards against a release that a successor uses although its owner has resumed extending leases.
func TestReleaseEndsWithNextTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		caller := store.NewClient()
		term := take(t, caller, "a")
		release := term.Release()
		assertReleased(t, caller, release, true)
		if term.Resumed(release) {
			t.Error("owner has resumed before its next transaction")
		}
		if err := term.Commit(t.Context(), progress("x"), nil); err != nil {
			t.Fatal(err)
		}
		assertReleased(t, caller, release, false)
		if !term.Resumed(release) {
			t.Error("owner has not resumed after its next transaction")
		}
		assertReleased(t, caller, term.Release(), true)
		take(t, caller, "b")
		assertReleased(t, caller, term.Release(), false)
	})
}

// assertReleased checks whether a successor that reads the owner's row now uses a release.
func assertReleased(t *testing.T, store rowstore.Store, release leadership.Release, want bool) {
	t.Helper()
	seen, err := leadership.ReadOwner(t.Context(), store, shard)
	if err != nil {
		t.Fatal(err)
	}
	if got := seen.WithRelease(release).Release == release; got != want {
		t.Errorf("release after transaction %d is used for row %d of term %q: %v, want %v", release.Sequence, seen.Sequence, seen.Term, got, want)
	}
}

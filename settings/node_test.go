package settings_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"chutereach/settings"
)

const goodNode = `[node]
name = edge-1
hall = north
front = 10.1.0.13:8161
ready = 10.1.0.13:8167
peer = 10.1.0.13:7720
[store]
address = 10.200.1.7:8169
[advice]
address =
[times]
lease = 6000ms
grace = 0.5s
`

func TestABoundOfEvacuations(t *testing.T) {
	text := strings.Replace(goodNode, "[times]\n", "[times]\nevacuate = 4s\n", 1)
	if s, err := settings.LoadNode([]string{"--config", nodeFile(t, text)}); err != nil || s.Times.Evacuate != 4*time.Second {
		t.Errorf("got %+v, %v", s, err)
	}
	text = strings.Replace(goodNode, "[times]\n", "[times]\nevacuate = -4s\n", 1)
	if _, err := settings.LoadNode([]string{"--config", nodeFile(t, text)}); err == nil || !strings.Contains(err.Error(), "evacuate") {
		t.Errorf("a negative bound: %v", err)
	}
}

func nodeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestNodeSettings(t *testing.T) {
	s, err := settings.LoadNode([]string{"--config", nodeFile(t, goodNode)})
	if err != nil {
		t.Fatal(err)
	}
	if s.Self.Name != "edge-1" || s.Times.Lease != 6*time.Second || s.Times.Grace != 500*time.Millisecond || s.Times.KeepFinal != 2*time.Minute {
		t.Errorf("settings: %+v", s)
	}
	if shown := s.Print(); !strings.Contains(shown, "front = 10.1.0.13:8161") {
		t.Errorf("shown: %s", shown)
	}
}

const allFigures = `[node]
name = edge-1
front = 10.1.0.13:8161
ready = 10.1.0.13:8167
peer = 10.1.0.13:7720
power = 0.4
memory = 284
link = 200
descriptors = 4100
[store]
address = 10.200.1.7:8169
partition-writes = 150
[times]
longest-lease = 10000ms
keep-final = 120s
grace = 6s
[worker]
stop = 900ms
restore = 350ms
remote-factor = 3
`

func assertDefaulted(t *testing.T, text string, keys ...string) *settings.Node {
	t.Helper()
	s, err := settings.LoadNode([]string{"--config", nodeFile(t, text)})
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, option := range s.Defaulted {
		got = append(got, option.Key)
	}
	if !slices.Equal(got, keys) {
		t.Errorf("defaults in force for %v, want %v", got, keys)
	}
	return s
}

func TestPlatformFiguresThatAreMissing(t *testing.T) {
	t.Run("none", func(t *testing.T) {
		s := assertDefaulted(t, allFigures)
		if s.LeaseInForce() != 3*time.Second || s.Store.PartitionWrites != 150 {
			t.Errorf("settings: %+v", s)
		}
		if want := (settings.NodeWorker{Stop: 900 * time.Millisecond, Restore: 350 * time.Millisecond, RemoteFactor: 3}); s.Worker != want {
			t.Errorf("of workers: %+v, want %+v", s.Worker, want)
		}
	})
	t.Run("those of workers", func(t *testing.T) {
		without, _, _ := strings.Cut(allFigures, "[worker]")
		s := assertDefaulted(t, without, "stop", "restore", "remote-factor")
		if want := (settings.NodeWorker{Stop: 400 * time.Millisecond, Restore: 250 * time.Millisecond, RemoteFactor: 1.5}); s.Worker != want {
			t.Errorf("of workers: %+v, want %+v", s.Worker, want)
		}
	})
	t.Run("one without a value", func(t *testing.T) {
		s := assertDefaulted(t, strings.Replace(allFigures, "= 150", "=", 1), "partition-writes")
		if s.Store.PartitionWrites != 200 {
			t.Errorf("%v writes a second", s.Store.PartitionWrites)
		}
	})
	t.Run("one that does not stand there", func(t *testing.T) {
		s := assertDefaulted(t, strings.Replace(allFigures, "longest-lease = 10000ms\n", "\n", 1), "longest-lease")
		if s.Times.LongestLease != 6*time.Second {
			t.Errorf("longest lease %v", s.Times.LongestLease)
		}
	})
	t.Run("a lease that workers do not take is cut", func(t *testing.T) {
		s := assertDefaulted(t, strings.Replace(allFigures, "10000ms", "2000ms", 1))
		if s.LeaseInForce() != 2*time.Second {
			t.Errorf("lease %v", s.LeaseInForce())
		}
	})
	t.Run("one that is wrong still names its line", func(t *testing.T) {
		_, err := settings.LoadNode([]string{"--config", nodeFile(t, strings.Replace(allFigures, "= 150", "= many", 1))})
		if err == nil || !strings.Contains(err.Error(), ":12: partition-writes") {
			t.Errorf("got %v", err)
		}
	})
}

func TestNodeSettingsThatAreWrong(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"an unknown key", "hall = north", "hale = north", ":3: hale"},
		{"a negative memory", "hall = north", "memory = -1", ":3: memory"},
		{"a store that takes nothing", "address = 10.200.1.7:8169", "address = 10.200.1.7:8169\npartition-writes = 0", ":9: partition-writes"},
		{"no address", "10.1.0.13:7720", "somewhere", ":6: peer"},
		{"a host name", "10.200.1.7:8169", "store:8169", ":8: address"},
		{"a bad time", "6000ms", "soon", ":12: "},
		{"a short lease", "6000ms", "10ms", ":12: lease"},
		{"no name", "edge-1", "", ":2: name"},
		{"no grace", "0.5s", "0s", ":13: grace"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			path := nodeFile(t, strings.Replace(goodNode, test.from, test.to, 1))
			_, err := settings.LoadNode([]string{"--config", path})
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line with %q", err, test.want)
			}
		})
	}
	if _, err := settings.LoadNode([]string{"--config", filepath.Join(t.TempDir(), "none.ini")}); err == nil {
		t.Error("a missing file was read")
	}
}

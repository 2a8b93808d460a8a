package settings_test

import (
	"strings"
	"testing"
	"time"

	"chutereach/settings"
)

func loadCallers(t *testing.T, lines string) (settings.Callers, error) {
	t.Helper()
	set, err := settings.LoadNode([]string{"--config", writeNodeConfig(t, validNode+"[callers]\n"+lines)})
	if err != nil {
		return settings.Callers{}, err
	}
	return set.Callers, nil
}

// The limits of a node follow from its machine unless the settings say others, and no client within the operator's
// limits meets them.
func TestCallerLimits(t *testing.T) {
	const operatorIdle = 5 * time.Minute
	cases := []struct {
		name, lines         string
		memory, descriptors int // of the machine
		connections         int
		bytes               int64
	}{
		{"few descriptors", "", 128, 600, 32, 16 << 20},
		{"little memory", "", 128, 10_000, 256, 16 << 20},
		{"from the settings", "connections = 7\nmemory = 3\n", 128, 600, 7, 3 << 20},
		{"unknown memory", "", 0, 600, 32, 64 << 20},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			callers, err := loadCallers(t, test.lines)
			if err != nil {
				t.Fatal(err)
			}
			limits := callers.Limits(test.memory, test.descriptors, 0.08, 0)
			if limits.Connections != test.connections || limits.Memory != test.bytes {
				t.Errorf("got %d connections and %d bytes, want %d and %d", limits.Connections, limits.Memory, test.connections, test.bytes)
			}
			limits = limits.WithRequestBytes(1<<20, 8<<20).WithTimeoutsFrom(time.Second, operatorIdle)
			if limits.HeaderBytes != 1<<20 || limits.BodyBytes != 8<<20 || limits.HeaderTimeout != callers.HeaderTimeout || limits.IdleTimeout != operatorIdle {
				t.Errorf("got %+v, want none below the operator's limits", limits)
			}
		})
	}
	for _, line := range []string{"connections = -1", "memory = -1", "header-bytes = 0", "header-timeout = 0s", "body-timeout = -1s", "idle-timeout = 0s", "write-timeout = 0s"} {
		t.Run(line, func(t *testing.T) {
			key, _, _ := strings.Cut(line, " ")
			if _, err := loadCallers(t, line+"\n"); err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("got error %v, want one that names %s", err, key)
			}
		})
	}
}

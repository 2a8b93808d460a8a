package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"chutereach/logs"
)

// collector keeps each write that comes to it.
type collector struct {
	mu     sync.Mutex
	writes [][]byte
}

func (c *collector) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes = append(c.writes, bytes.Clone(data))
	return len(data), nil
}

// A collector that takes 8 KiB of each write gets every line whole.
func TestWritesAreShortAndOfWholeLines(t *testing.T) {
	const taken = 8 << 10
	var c collector
	writer, _ := logs.Bounded(&c, 4096)
	log := logs.New(writer, true, zerolog.InfoLevel)
	for i := range 500 {
		log.Info().Str("why", strings.Repeat("x", i)).Msg("stopping")
	}
	writer.Close()
	if len(c.writes) < 2 {
		t.Errorf("%d writes, want lines to be collected in several", len(c.writes))
	}
	for _, write := range c.writes {
		if len(write) > taken {
			t.Errorf("a write of %d bytes, want %d at most", len(write), taken)
		}
		if !bytes.HasSuffix(write, []byte("}\n")) {
			t.Errorf("a write ends with %q", write[max(0, len(write)-20):])
		}
	}
}

package logs

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// countingWriter counts the writes that reach it.
type countingWriter struct {
	mu     sync.Mutex
	writes int
	split  bool // a write did not end with a line
	text   strings.Builder
	err    error
}

func (w *countingWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes++
	w.split = w.split || !strings.HasSuffix(string(data), "\n")
	w.text.Write(data)
	return len(data), w.err
}

func (w *countingWriter) seen() (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writes, w.text.String()
}

func TestBatch(t *testing.T) {
	const lines = 50
	t.Run("lines of a moment are written together", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := &countingWriter{}
			b := newBatch(w)
			for range lines {
				b.Write([]byte("granted\n"))
			}
			time.Sleep(2 * batchTime)
			writes, text := w.seen()
			if writes != 1 || strings.Count(text, "\n") != lines {
				t.Errorf("%d lines in %d writes, want %d in 1", strings.Count(text, "\n"), writes, lines)
			}
			b.Write([]byte("later\n"))
			time.Sleep(2 * batchTime)
			if _, text := w.seen(); !strings.HasSuffix(text, "later\n") {
				t.Error("a later line was not written")
			}
		})
	})
	t.Run("many lines do not wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := &countingWriter{}
			b := newBatch(w)
			b.Write(make([]byte, batchBytes))
			b.Write(make([]byte, batchBytes))
			if writes, _ := w.seen(); writes == 0 {
				t.Error("nothing was written")
			}
			b.Close()
		})
	})
	t.Run("no line is split", func(t *testing.T) {
		w := &countingWriter{}
		b := newBatch(w)
		line := strings.Repeat("x", 999) + "\n"
		for range 100 {
			b.Write([]byte(line))
		}
		b.Close()
		if w.split || w.writes < 2 {
			t.Errorf("in %d writes, a line was split: %v", w.writes, w.split)
		}
	})
	t.Run("the rest is written at the end", func(t *testing.T) {
		w := &countingWriter{}
		b := newBatch(w)
		b.Write([]byte("stopped\n"))
		b.Close()
		if _, text := w.seen(); text != "stopped\n" {
			t.Errorf("written: %q", text)
		}
	})
	t.Run("a writer that fails holds nothing up", func(t *testing.T) {
		b := newBatch(&countingWriter{err: errors.New("broken pipe")})
		b.Write([]byte("stopped\n"))
		if err := b.Close(); err != nil {
			t.Error(err)
		}
	})
}

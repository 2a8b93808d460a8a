package logs

import (
	"bufio"
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// maxBatchBytes and maxBatchDelay limit a batch. Batches save system calls and
	// wake-ups of the reader. Log collectors may read at most 8 KiB of one write: with
	// 16 KiB, 293 of 25,326 lines were split, most of them at 8,192 bytes.
	maxBatchBytes = 8 << 10
	maxBatchDelay = 20 * time.Millisecond
	// closeTimeout bounds Close. It is part of the time that a process has for its exit.
	closeTimeout = 200 * time.Millisecond
)

// Bounded returns a writer that does not block, and the number of lines it dropped. At
// most capacity lines wait to be written; they are written in batches. Close writes the
// last ones, or returns an UnwrittenError if w does not take them in time.
func Bounded(w io.Writer, capacity int) (io.WriteCloser, *expvar.Int) {
	dropped := new(expvar.Int)
	return boundedWriter{diode.NewWriter(newBatch(w), capacity, 0, func(n int) { dropped.Add(int64(n)) })}, dropped
}

type boundedWriter struct{ diode.Writer }

// Close implements io.Closer. The reader of a log may have stopped reading, and the write
// in progress then never returns.
func (b boundedWriter) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- b.Writer.Close() }()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case err := <-closed:
		return err
	case <-timer.C:
		return &UnwrittenError{closeTimeout}
	}
}

// UnwrittenError reports that the last lines of a log were not written within Limit.
type UnwrittenError struct{ Limit time.Duration }

func (e *UnwrittenError) Error() string {
	return fmt.Sprintf("last lines of the log not written within %v", e.Limit)
}

// batch is a writer that buffers lines up to maxBatchBytes or for maxBatchDelay.
type batch struct {
	mu           sync.Mutex
	buffer       *bufio.Writer
	timer        *time.Timer // flushes the buffer
	flushPending bool
}

func newBatch(w io.Writer) *batch {
	b := &batch{buffer: bufio.NewWriterSize(w, maxBatchBytes)}
	b.timer = time.AfterFunc(maxBatchDelay, b.flush)
	return b
}

// Write implements io.Writer. A line is never split over two writes, because log
// collectors may treat each write as complete lines.
func (b *batch) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buffer.Available() < len(line) {
		b.buffer.Flush()
	}
	if !b.flushPending {
		b.flushPending = true
		b.timer.Reset(maxBatchDelay)
	}
	return b.buffer.Write(line)
}

func (b *batch) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flushPending = false
	b.buffer.Flush() // a failure to write logs must not stop the daemon
}

// Close implements io.Closer. Package diode calls it after the last line.
func (b *batch) Close() error {
	b.timer.Stop()
	b.flush()
	return nil
}

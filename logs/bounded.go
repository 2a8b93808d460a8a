package logs

import (
	"bufio"
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// batchBytes and batchTime bound what is collected before it is written: each
	// write is a call to the system, and may wake a reader. Who collects logs may take no
	// more than 8 KiB of one write: with 16 KiB, 293 of 25,326 lines were torn, most of them
	// 8,192 bytes after the first line of the same moment, and no more came whole at once.
	batchBytes = 8 << 10
	batchTime  = 20 * time.Millisecond
)

// Bounded returns a writer that never blocks: at most lines wait to be written,
// and what is left out is counted. Lines are written some at a time, and the rest
// at Close.
func Bounded(w io.Writer, lines int) (io.WriteCloser, *expvar.Int) {
	missed := new(expvar.Int)
	return diode.NewWriter(newBatch(w), lines, 0, func(n int) { missed.Add(int64(n)) }), missed
}

// batch collects writes until they are many or old.
type batch struct {
	mu     sync.Mutex
	buffer *bufio.Writer
	timer  *time.Timer // runs while something is collected
	armed  bool
}

func newBatch(w io.Writer) *batch {
	b := &batch{buffer: bufio.NewWriterSize(w, batchBytes)}
	b.timer = time.AfterFunc(batchTime, b.flush)
	return b
}

// Write implements io.Writer. A line is never split over two writes: who collects
// logs may take each write for whole lines.
func (b *batch) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buffer.Available() < len(line) {
		b.buffer.Flush()
	}
	if !b.armed {
		b.armed = true
		b.timer.Reset(batchTime)
	}
	return b.buffer.Write(line)
}

func (b *batch) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.armed = false
	b.buffer.Flush() // a log that cannot be written is nothing to fail for
}

// Close implements io.Closer; package diode calls it after the last line.
func (b *batch) Close() error {
	b.timer.Stop()
	b.flush()
	return nil
}

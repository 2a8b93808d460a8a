package logs_test

import (
	"errors"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chutereach/logs"
)

// Guards against loggers that block while the reader of the log does not read.
func TestFullPipeDoesNotBlock(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	const capacity, lines = 64, 10_000
	writer, dropped := logs.Bounded(write, capacity)
	log := logs.New(writer, true, zerolog.InfoLevel)
	for range lines {
		log.Info().Str("job", "5c0e7a21d94b36f8").Msg("refused")
	}
	// Dropped lines are counted by the reader of the ring buffer, after the pipe is drained.
	drained := make(chan int)
	go func() {
		total, buffer := 0, make([]byte, 1<<16)
		for {
			n, err := read.Read(buffer)
			total += n
			if err != nil {
				drained <- total
				return
			}
		}
	}()
	for dropped.Value() == 0 {
		log.Info().Msg("more")
		time.Sleep(time.Millisecond)
	}
	writer.Close()
	write.Close()
	if got := <-drained; got == 0 {
		t.Error("nothing was written")
	}
	if dropped.Value() == 0 || dropped.Value() > lines+1000 {
		t.Errorf("%d lines counted as dropped", dropped.Value())
	}
}

// Guards against processes that do not exit while the reader of the log does not read.
func TestCloseDoesNotWaitForReader(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close() // ends the write in progress
	writer, dropped := logs.Bounded(write, 64)
	log := logs.New(writer, true, zerolog.InfoLevel)
	for range 10_000 { // more than a pipe holds
		log.Info().Str("job", "5c0e7a21d94b36f8").Msg("refused")
	}
	closed := make(chan error, 1)
	go func() { closed <- writer.Close() }()
	select {
	case err := <-closed:
		var unwritten *logs.UnwrittenError
		if !errors.As(err, &unwritten) {
			t.Errorf("got %v with %d lines dropped, want UnwrittenError", err, dropped.Value())
		}
	case <-time.After(10 * time.Second):
		t.Error("Close waits for the reader")
	}
}

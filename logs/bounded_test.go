package logs_test

import (
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chutereach/logs"
)

// A reader that reads nothing must not hold a decision up.
func TestAFullPipeDoesNotBlock(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	const waiting, lines = 64, 10_000
	writer, missed := logs.Bounded(write, waiting)
	log := logs.New(writer, true, zerolog.InfoLevel)
	for range lines {
		log.Info().Str("job", "5c0e7a21d94b36f8").Msg("refused")
	}
	// The lines are left out by the reader of the ring, once the pipe is drained.
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
	for missed.Value() == 0 {
		log.Info().Msg("more")
		time.Sleep(time.Millisecond)
	}
	writer.Close()
	write.Close()
	if got := <-drained; got == 0 {
		t.Error("nothing was written")
	}
	if missed.Value() == 0 || missed.Value() > lines+1000 {
		t.Errorf("%d lines counted as left out", missed.Value())
	}
}

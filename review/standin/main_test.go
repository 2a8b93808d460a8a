// Package standin plays the platform, the workers and the clients of a small deployment against real nodes of the project. It is
// built as a test binary, whose arguments name the case.
package standin

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*bed) int{
	"expiry":    expiry,
	"many-ends": manyEnds,
	"large-job": largeJob,
	"crashes":   crashes,
	"timed-job": timedJob,
}

// TestMain plays one case.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE NODE-PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	file, err := os.Create(os.Args[3])
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "standin: no such case, or no record:", err)
		os.Exit(exitNotRun)
	}
	b, err := newBed(os.Args[2], &record{file: file, started: time.Now()})
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitNotRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		b.end()
		os.Exit(exitNotRun)
	}()
	code := exitNotRun
	func() {
		defer b.end()
		code = play(b)
	}()
	b.record.line("exit code %d", code)
	os.Exit(code)
}

package cases

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// cases are the cases by name. A case returns false if it could not run.
var cases = map[string]func(b *bed, trouble bool) bool{}

// TestMain runs the case that CASE names, with its record in the folder DIR, against the programs built in the
// folder ROOT. TROUBLE=0 leaves the disruption out.
func TestMain(*testing.M) {
	run, ok := cases[os.Getenv("CASE")]
	record, err := os.Create(os.Getenv("DIR") + "/record.txt")
	if !ok || err != nil {
		fmt.Println("no such case, or no folder for its record:", os.Getenv("CASE"), err)
		os.Exit(2)
	}
	b := newBed(record, os.Getenv("ROOT"))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() {
		code := 2
		defer func() {
			if r := recover(); r != nil {
				b.note("the case could not run: %v", r)
			}
			result <- code
		}()
		if ran := run(b, os.Getenv("TROUBLE") != "0"); ran {
			code = 0
		}
	}()
	code := 2
	select {
	case code = <-result:
	case <-signals:
	case <-time.After(110 * time.Second):
		b.note("the case takes too long")
	}
	b.close()
	if len(b.broken) > 0 && code != 2 {
		code = 1
	}
	b.note("exit %d", code)
	fmt.Printf("%s: exit %d, %d broken\n", os.Getenv("CASE"), code, len(b.broken))
	for i, text := range b.broken {
		if i < 5 {
			fmt.Println(" ", text)
		}
	}
	os.Exit(code)
}

// Package kit2 plays one case of the review: it starts stand-ins of the platform, its workers and its
// clients, and the project's own nodes as processes, and judges a rule by what clients and workers have seen.
package kit2

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// longestPlay is the time after which a play is ended.
const longestPlay = 115 * time.Second

// Record is what was sent, answered and run.
type Record struct {
	mu     sync.Mutex
	begun  time.Time
	file   *os.File
	counts map[string]int64
}

func newRecord(path string) *Record {
	file, err := os.Create(path)
	check(err)
	return &Record{begun: time.Now(), file: file, counts: map[string]int64{}}
}

// Log writes a line with the time since the start.
func (r *Record) Log(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %-8s %s\n", time.Since(r.begun).Seconds(), who, fmt.Sprintf(format, args...))
	r.file.WriteString(line)
	os.Stdout.WriteString(line)
}

// Note writes a line to the record only.
func (r *Record) Note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %-8s %s\n", time.Since(r.begun).Seconds(), who, fmt.Sprintf(format, args...))
}

func (r *Record) Count(what string, by int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what] += by
}

func (r *Record) Max(what string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what] = max(r.counts[what], value)
}

func (r *Record) Get(what string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[what]
}

// Close writes the counts and ends the record.
func (r *Record) Close() {
	r.mu.Lock()
	names := make([]string, 0, len(r.counts))
	for name := range r.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(r.file, "count: %-50s %d\n", name, r.counts[name])
		fmt.Printf("count: %-50s %d\n", name, r.counts[name])
	}
	r.mu.Unlock()
	r.file.Close()
}

// failure ends a case that could not run.
type failure struct{ err error }

func (f failure) Error() string { return f.err.Error() }

func check(err error) {
	if err != nil {
		panic(failure{err})
	}
}

var cases = map[string]func(*Case) int{}

// TestMain plays the case that the arguments name. The sources are test sources because they use the names of the
// platform's protocol, which a test of the project keeps out of all others.
func TestMain(*testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: kit2 CASE RECORD PROGRAM")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case, writes what was sent, answered and run to the file record, and returns the exit code.
func play(name, record, program string) (code int) {
	temp, err := os.MkdirTemp("", "kit2-")
	check(err)
	c := &Case{rec: newRecord(record), temp: temp, program: program, trouble: os.Getenv("TROUBLE") != "0", given: map[string]bool{}}
	defer func() {
		c.stopAll()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(temp)
		} else {
			fmt.Println("logs of the nodes:", temp)
		}
		if caught := recover(); caught != nil {
			c.rec.Log("case", "could not run: %v", caught)
			code = notRun
		}
		c.rec.Log("case", "exit %d", code)
		c.rec.Close()
	}()
	c.rec.Log("case", "%s, trouble %v", name, c.trouble)
	time.AfterFunc(longestPlay, func() {
		c.rec.Log("case", "ended after %v", longestPlay)
		c.stopAll()
		os.Exit(notRun)
	})
	return cases[name](c)
}

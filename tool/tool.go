// Package tool is the command-line tool: one type for each command.
package tool

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"chutereach/api"
	"chutereach/client"
	"chutereach/declare"
	"chutereach/explain"
	"chutereach/ini"
)

// Exit codes.
const (
	ExitFailed      = 1 // the command failed
	ExitUsage       = 2 // the command line or a file is wrong
	ExitUnavailable = 3 // it was not carried out; try again later
	ExitConflict    = 4 // another operator was faster
	ExitUnknown     = 5 // it is not known whether it was carried out
	ExitNotFound    = 6 // there is no such thing
)

// Options apply to every command.
type Options struct {
	Server  []string      `long:"server" env:"CHUTEREACH_SERVER" env-delim:"," default:"http://127.0.0.1:7480" description:"a box's address; give it several times to name more boxes"`
	Token   string        `long:"token" env:"CHUTEREACH_TOKEN" default-mask:"-" description:"token of the operator or account"`
	JSON    bool          `long:"json" description:"print JSON, for scripts"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"for each call"`
}

// options of the run under way; go-flags gives commands no other way to them.
var options Options

// out is where commands print.
var out io.Writer = os.Stdout

func newClient() *client.Client {
	return client.New(options.Server, options.Token, options.Timeout)
}

// command is a command and how it is presented.
type command struct {
	name, short, examples string
	data                  any
}

var commands = []command{
	{"plan", "show what apply would change", "chutereach plan examples/manizales", &planCommand{}},
	{"apply", "publish a directory of declarations as a revision", "chutereach apply examples/manizales -m 'new tariff'", &applyCommand{}},
	{"history", "list the newest revisions", "chutereach history", &historyCommand{}},
	{"show", "print a revision", "chutereach show 12 --json", &showCommand{}},
	{"rollback", "publish an earlier revision again", "chutereach rollback 12", &rollbackCommand{}},
	{"submit", "create a job or service from a template", "chutereach submit recalculation --param month:2026-11 --tasks 40 --wait", &submitCommand{}},
	{"jobs", "list jobs, or show one", "chutereach jobs\n  chutereach jobs chipre.d4k1...", &jobsCommand{}},
	{"stop", "stop a job", "chutereach stop chipre.d4k1...", &stopCommand{}},
	{"settle", "say what became of a task whose outcome is unknown", "chutereach settle chipre.d4k1... 3 done", &settleCommand{}},
	{"request", "send an interactive request", "chutereach request balance /accounts/17", &requestCommand{}},
	{"workers", "list the workers", "chutereach workers --hall chipre", &workersCommand{}},
	{"boxes", "list the entry boxes", "chutereach boxes", &boxesCommand{}},
	{"status", "show the cell at a glance", "chutereach status", &statusCommand{}},
	{"drain", "take a worker, rack, hall or box out of use, or undo it", "chutereach drain rack chipre-rack-1\n  chutereach drain --undo rack chipre-rack-1", &drainCommand{}},
	{"timeline", "show the events of all boxes in causal order", "chutereach timeline --job chipre.d4k1...\n  chutereach timeline --follow", &timelineCommand{}},
	{"why", "tell from saved logs what became of a job, and why", "chutereach why 5c0e7a21d94b36f8 --log edge-1.log --log edge-2.log", &whyCommand{}},
	{"losses", "count from saved logs which jobs were late or lost, when, and what held them up", "chutereach losses --log day.log --report day.json --zero 10s", &lossesCommand{}},
	{"keys", "make the certificates by which boxes know each other", "chutereach keys --dir keys box-1 box-2 box-3", &keysCommand{}},
	{"stand-in", "run a stand-in of the platform, for trying out", "chutereach stand-in --listen 127.0.0.1:7400 --fleet both", &standinCommand{}},
	{"burst", "send the two users' bursts through a cell and sum up", "chutereach burst --scale 1", &burstCommand{}},
}

// Main runs the tool and returns its exit code.
func Main(args []string) int {
	p := flags.NewNamedParser("chutereach", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Works with a chutereach cell through any of its boxes.\n\nExit codes: 0 done, 1 failed, 2 wrong use, " +
		"3 not carried out, 4 conflict, 5 outcome unknown, 6 not found."
	if _, err := p.AddGroup("All commands", "", &options); err != nil {
		panic(err) // the struct's tags are constant
	}
	for _, c := range commands {
		long := c.short + ".\n\nExamples:\n  " + c.examples
		if _, err := p.AddCommand(c.name, c.short, long, c.data); err != nil {
			panic(err) // the structs' tags are constant
		}
	}
	_, err := p.ParseArgs(args)
	return report(err)
}

// report prints an error as one sentence and returns its exit code.
func report(err error) int {
	var fe *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(out, fe.Message)
		return 0
	}
	fmt.Fprintf(os.Stderr, "chutereach: %v\n", err)
	return exitCode(err)
}

// exitCodes gives the codes of API failures their exit codes.
var exitCodes = map[api.Code]int{
	api.CodeInvalid:     ExitUsage,
	api.CodeNotRun:      ExitUnavailable,
	api.CodeUnavailable: ExitUnavailable,
	api.CodeConflict:    ExitConflict,
	api.CodeKeyReused:   ExitConflict,
	api.CodeUnknown:     ExitUnknown,
	api.CodeNotFound:    ExitNotFound,
}

func exitCode(err error) int {
	var (
		fe          *flags.Error
		ie          *ini.Error
		de          declare.Errors
		noFiles     *declare.NoFilesError
		usage       *UsageError
		ce          *client.Error
		unreachable *client.UnreachableError
		lost        *client.LostError
		unknownJob  *explain.UnknownJobError
	)
	switch {
	case errors.As(err, &fe), errors.As(err, &ie), errors.As(err, &de), errors.As(err, &noFiles), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &ce):
		if code, known := exitCodes[ce.Failure.Code]; known {
			return code
		}
	case errors.As(err, &unknownJob):
		return ExitNotFound
	case errors.As(err, &unreachable):
		return ExitUnavailable
	case errors.As(err, &lost):
		return ExitUnknown
	}
	return ExitFailed
}

// UsageError says that a command was used wrongly.
type UsageError struct{ Reason string }

func (e *UsageError) Error() string { return e.Reason }

// printJSON prints v for scripts.
func printJSON(v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table prints rows under a header, for people.
type table struct{ w *tabwriter.Writer }

const columnGap = 2

func newTable(header ...string) table {
	t := table{tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	t.row(header...)
	return t
}

func (t table) row(cells ...string) { fmt.Fprintln(t.w, strings.Join(cells, "\t")) }

func (t table) flush() error { return t.w.Flush() }

// warnSilent tells of boxes whose part of an answer is missing.
func warnSilent(silent []string) {
	if len(silent) > 0 {
		fmt.Fprintf(os.Stderr, "chutereach: no answer from %s; what they know is missing here\n", strings.Join(silent, ", "))
	}
}

// rough rounds a duration for people.
func rough(d time.Duration) string {
	switch {
	case d >= time.Minute:
		return d.Round(time.Second).String()
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(time.Microsecond).String()
}

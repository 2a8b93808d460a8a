package tool

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"chutereach/explain"
)

type whyCommand struct {
	Logs []string `short:"l" long:"log" description:"a saved log; give it once for each box; without it, standard input" value-name:"FILE"`
	Args struct {
		Job string `positional-arg-name:"JOB" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (w *whyCommand) Execute([]string) error {
	lines, passed, err := readLogs(w.Logs)
	if err != nil {
		return err
	}
	if passed > 0 {
		fmt.Fprintf(os.Stderr, "chutereach: %d lines are no log lines and were passed over\n", passed)
	}
	story, err := explain.JobHistory(lines, w.Args.Job)
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(story)
	}
	return printStory(story)
}

// readLogs reads saved logs, or standard input if none is named, and counts the lines
// that are no log lines.
func readLogs(names []string) (lines []explain.Line, passed int, err error) {
	if len(names) == 0 {
		return explain.Read(os.Stdin, "stdin")
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			var cause *os.PathError
			if errors.As(err, &cause) {
				err = cause.Err
			}
			return nil, 0, &UsageError{fmt.Sprintf("%s: %v", name, err)}
		}
		read, skipped, err := explain.Read(file, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
		file.Close()
		if err != nil {
			return nil, 0, err
		}
		lines, passed = append(lines, read...), passed+skipped
	}
	return lines, passed, nil
}

func printStory(story explain.History) error {
	for _, sentence := range story.Summary {
		fmt.Fprintln(out, sentence)
	}
	fmt.Fprintln(out)
	t := newTable("AFTER", "BOX", "WHAT", "WITH")
	for _, line := range story.Lines {
		after := line.Time.Sub(story.Lines[0].Time)
		t.row(rough(after), line.Box, line.Message, fieldsOf(line))
	}
	return t.flush()
}

// mostShown bounds the length of a field in a table.
const mostShown = 90

func fieldsOf(line explain.Line) string {
	var list []string
	for name, value := range line.Fields {
		text := fmt.Sprint(value)
		if len(text) > mostShown {
			text = text[:mostShown] + "..."
		}
		list = append(list, name+"="+text)
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

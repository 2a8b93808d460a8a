package tool

import (
	"fmt"
	"os"
	"time"

	"chutereach/explain"
	"chutereach/platform"
)

type lossesCommand struct {
	Logs   []string      `short:"l" long:"log" required:"yes" description:"a saved log; give it once for each box" value-name:"FILE"`
	Report string        `long:"report" description:"the platform's report of the day: what was earned, by class and by window" value-name:"FILE"`
	Window time.Duration `long:"window" default:"2s" description:"length of a window"`
	Zero   time.Duration `long:"zero" default:"0s" description:"where windows begin to count, after the first line"`
}

// Execute implements flags.Commander.
func (l *lossesCommand) Execute([]string) error {
	lines, _, err := readLogs(l.Logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &UsageError{"there are no log lines"}
	}
	first := lines[0].Time
	for _, line := range lines {
		if line.Time.Before(first) {
			first = line.Time
		}
	}
	if err := l.printReport(); err != nil {
		return err
	}
	losses := explain.Losses(lines, first.Add(l.Zero), l.Window)
	if options.JSON {
		return printJSON(losses)
	}
	t := newTable("WINDOW", "QUEUE", "CAUSE", "JOBS", "COULD BE SAVED")
	for _, loss := range losses {
		saved := "no"
		if loss.Cause.Avoidable() {
			saved = "yes"
		}
		t.row(loss.Window.String(), loss.Queue, string(loss.Cause), fmt.Sprint(loss.Jobs), saved)
	}
	return t.flush()
}

func (l *lossesCommand) printReport() error {
	if l.Report == "" || options.JSON {
		return nil
	}
	data, err := os.ReadFile(l.Report)
	if err != nil {
		return &UsageError{fmt.Sprintf("%s: cannot be read", l.Report)}
	}
	report, err := platform.DecodeDayReport(data)
	if err != nil {
		return err
	}
	t := newTable("PART", "NAME", "ASKED", "IN TIME", "LATE", "REFUSED", "FAILED", "EARNED")
	for _, group := range []struct {
		part string
		rows []platform.ReportRow
	}{{"class", report.Classes}, {"window", report.Windows}} {
		for _, row := range group.rows {
			t.row(group.part, row.Name, fmt.Sprint(row.Requests), fmt.Sprint(row.OnTime), fmt.Sprint(row.Late),
				fmt.Sprint(row.Refused), fmt.Sprint(row.Failed), fmt.Sprintf("%.2f", row.CreditRatio))
		}
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	return nil
}

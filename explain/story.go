package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// contextMargin is how far before and after the job's own lines other lines are included.
const contextMargin = time.Second

// systemMessages lists the log messages that concern every job active at the time.
var systemMessages = []string{
	"shard taken", "shard loaded", "shard cannot be loaded yet", "handing the shard over", "term over",
	"store does not answer", "store answers again", "slow transaction", "configuration in force",
	msgHallsEvacuated, msgEvacuationsUnconfirmed, msgEvacuationsConfirmed,
}

// History is the history of a job.
type History struct {
	Job     string   `json:"job"`
	Lines   []Line   `json:"lines"`   // in time order
	Summary []string `json:"summary"` // sentences, starting with the outcome
}

// UnknownJobError reports that no log line mentions a job.
type UnknownJobError struct{ Job string }

func (e *UnknownJobError) Error() string {
	return fmt.Sprintf("no log line mentions job %s: it reached no shard owner, or its lines were dropped (see log_lines_left_out)", e.Job)
}

// JobHistory reconstructs the history of a job from the log lines of all boxes.
func JobHistory(lines []Line, job string) (History, error) {
	var own []Line
	for _, line := range lines {
		if line.Job == job {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return History{}, &UnknownJobError{job}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Time.Add(-contextMargin), own[len(own)-1].Time.Add(contextMargin)
	merged := slices.Clone(own)
	var others []Line
	for _, line := range lines {
		if line.Job == "" && slices.Contains(systemMessages, line.Message) && line.Time.After(from) && line.Time.Before(to) {
			others = append(others, line)
		}
	}
	slices.SortStableFunc(others, byTime)
	others = dropRepeatedVersions(others)
	merged = append(merged, others...)
	others = slices.DeleteFunc(others, func(l Line) bool { return l.Time.After(own[len(own)-1].Time) })
	slices.SortStableFunc(merged, byTime)
	return History{Job: job, Lines: merged, Summary: summarize(own, others)}, nil
}

// dropRepeatedVersions keeps only the first line for each version of the configuration and of
// the set of evacuated data halls, as every box logs one.
func dropRepeatedVersions(lines []Line) []Line {
	type key struct {
		message string
		version any
	}
	seen := map[key]bool{}
	return slices.DeleteFunc(lines, func(line Line) bool {
		version, ok := line.Fields["version"]
		if line.Message != "configuration in force" && line.Message != msgHallsEvacuated || !ok {
			return false
		}
		repeated := seen[key{line.Message, version}]
		seen[key{line.Message, version}] = true
		return repeated
	})
}

// summarize describes the outcome of the job and its delays.
func summarize(own, others []Line) []string {
	outcome, final := outcomeOf(own)
	summary := []string{outcome}
	accepted := findMessage(own, "accepted")
	if accepted == nil || own[len(own)-1].Message == msgGivenBack {
		return append(summary, takeoversAndOutages(others)...)
	}
	if granted := findMessage(own, "granted"); granted != nil {
		waited := granted.Time.Sub(accepted.Time).Round(time.Millisecond)
		summary = append(summary, fmt.Sprintf("Its first tasks were placed %v after it was accepted, %v before its deadline.",
			waited, granted.durationField("slack").Round(time.Millisecond)))
	} else if findMessage(own, "attempt over") == nil {
		summary = append(summary, "None of its tasks was placed: check for \"no advice\" lines and for shard owners that could not reach the store.")
	}
	summary = append(summary, quotaWaits(own)...)
	summary = append(summary, heldStarts(own)...)
	summary = append(summary, attemptOutcomes(own)...)
	summary = append(summary, lostWorkers(own)...)
	if final != nil {
		return append(append(summary, evacuatedHalls(others)...), takeoversAndOutages(others)...)
	}
	return append(summary, "The logs do not show its final state.")
}

func findMessage(lines []Line, message string) *Line {
	for i := range lines {
		if lines[i].Message == message {
			return &lines[i]
		}
	}
	return nil
}

func outcomeOf(own []Line) (string, *Line) {
	if final := findMessage(own, "job is final"); final != nil {
		late := "in time"
		if isLate, _ := final.Fields["late"].(bool); isLate {
			late = "late"
		}
		return fmt.Sprintf("The job ended in state %s, %s, after %v: %s.", final.stringField("state"), late,
			final.durationField("age").Round(time.Millisecond), final.stringField("why")), final
	}
	if refused := findMessage(own, "refused"); refused != nil && findMessage(own, "accepted") == nil {
		return fmt.Sprintf("The job was refused: %s.", refused.stringField("error")), nil
	}
	if last := &own[len(own)-1]; last.Message == msgGivenBack {
		return fmt.Sprintf("The job was returned to its caller as not accepted: the store had not answered for %v, and the job could not complete in time.",
			last.durationField("store_silent").Round(time.Millisecond)), nil
	}
	return "The job was accepted.", nil
}

// attemptOutcomes counts, by outcome and reason, the ended and refused attempts and those without
// advice, together with the workers affected. Successful attempts are logged at debug level only.
func attemptOutcomes(own []Line) []string {
	counts, workers := map[string]int{}, map[string]map[string]int{}
	for _, line := range own {
		var kind string
		switch line.Message {
		case "attempt over":
			kind = line.stringField("outcome") + " (" + line.stringField("why") + ")"
		case "start refused":
			kind = "refused by the worker (" + line.stringField("reason") + ")"
		case "no advice":
			kind = "without advice"
		default:
			continue
		}
		counts[kind]++
		if workers[kind] == nil {
			workers[kind] = map[string]int{}
		}
		workers[kind][line.stringField("worker")]++
	}
	var sentences []string
	for kind, count := range counts {
		sentences = append(sentences, fmt.Sprintf("%d attempts were %s, on %d workers.", count, kind, len(workers[kind])))
	}
	slices.Sort(sentences)
	return sentences
}

// quotaWaits describes how long the job waited for its account's quota.
func quotaWaits(own []Line) []string {
	waiting := findMessage(own, msgQuotaWait)
	if waiting == nil {
		return nil
	}
	total := time.Duration(0)
	for _, s := range quotaSpans(own, own[len(own)-1].Time) {
		total += s.to.Sub(s.from)
	}
	return []string{fmt.Sprintf("Its account %s was at its quota (%s in use of %s): steps waited %v for room.",
		waiting.stringField("account"), waiting.stringField("used"), waiting.stringField("quota"), total.Round(time.Millisecond))}
}

// lostWorkers lists, for each task of the job, the workers that ended while running it.
func lostWorkers(own []Line) []string {
	var tasks []string
	workers := map[string][]string{}
	for _, line := range own {
		if line.Message != "worker has ended under a task" {
			continue
		}
		task := line.stringField("task")
		if workers[task] == nil {
			tasks = append(tasks, task)
		}
		workers[task] = append(workers[task], line.stringField("worker"))
	}
	var sentences []string
	for _, task := range tasks {
		sentences = append(sentences, fmt.Sprintf("%d workers ended while running %s: %s.", len(workers[task]), task, strings.Join(workers[task], ", ")))
	}
	return sentences
}

// takeoversAndOutages describes changes of shard owner and store outages while the job was active.
func takeoversAndOutages(others []Line) []string {
	var reasons []string
	outages := 0
	for _, line := range others {
		switch line.Message {
		case "shard taken":
			reasons = append(reasons, line.stringField("why"))
		case "store does not answer":
			outages++
		}
	}
	var sentences []string
	if len(reasons) > 0 {
		sentences = append(sentences, fmt.Sprintf("The shard changed owner %d times in the meantime: %s.", len(reasons), strings.Join(reasons, "; ")))
	}
	if outages > 0 {
		sentences = append(sentences, fmt.Sprintf("The store did not answer %d boxes in the meantime.", outages))
	}
	return sentences
}

package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// around is how much longer than the job's own lines others are shown.
const around = time.Second

// general are the messages that matter to every job of their time.
var general = []string{
	"shard taken", "shard loaded", "shard cannot be loaded yet", "handing the shard over", "term over",
	"store does not answer", "store answers again", "slow transaction", "configuration in force",
	hallsEvacuated, viewStale, viewFresh,
}

// Story is what the logs say of a job.
type Story struct {
	Job     string   `json:"job"`
	Lines   []Line   `json:"lines"`   // in the order of time
	Summary []string `json:"summary"` // sentences, the outcome first
}

// UnknownJobError says that no log names a job.
type UnknownJobError struct{ Job string }

func (e *UnknownJobError) Error() string {
	return fmt.Sprintf("no log names job %s: it reached no owner, or its lines were left out (log_lines_left_out)", e.Job)
}

// Tell finds a job's story in the lines of all boxes.
func Tell(lines []Line, job string) (Story, error) {
	var own []Line
	for _, line := range lines {
		if line.Job == job {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return Story{}, &UnknownJobError{job}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Time.Add(-around), own[len(own)-1].Time.Add(around)
	told := slices.Clone(own)
	var others []Line
	for _, line := range lines {
		if line.Job == "" && slices.Contains(general, line.Message) && line.Time.After(from) && line.Time.Before(to) {
			others = append(others, line)
		}
	}
	slices.SortStableFunc(others, byTime)
	others = firstOfVersions(others)
	told = append(told, others...)
	others = slices.DeleteFunc(others, func(l Line) bool { return l.Time.After(own[len(own)-1].Time) })
	slices.SortStableFunc(told, byTime)
	return Story{Job: job, Lines: told, Summary: summarize(own, others)}, nil
}

// firstOfVersions drops all lines but the first that tell of one version of the
// configuration or of the evacuated data halls: every box writes one.
func firstOfVersions(lines []Line) []Line {
	type told struct {
		message string
		version any
	}
	seen := map[told]bool{}
	return slices.DeleteFunc(lines, func(line Line) bool {
		version, ok := line.Fields["version"]
		if line.Message != "configuration in force" && line.Message != hallsEvacuated || !ok {
			return false
		}
		former := seen[told{line.Message, version}]
		seen[told{line.Message, version}] = true
		return former
	})
}

// summarize says what came of the job, and what took its time.
func summarize(own, others []Line) []string {
	outcome, final := outcomeOf(own)
	summary := []string{outcome}
	accepted := find(own, "accepted")
	if accepted == nil || own[len(own)-1].Message == givenBack {
		return append(summary, takeovers(others)...)
	}
	if granted := find(own, "granted"); granted != nil {
		waited := granted.Time.Sub(accepted.Time).Round(time.Millisecond)
		summary = append(summary, fmt.Sprintf("Its first tasks were placed %v after it was accepted, with %v to spare.",
			waited, granted.duration("slack").Round(time.Millisecond)))
	} else if find(own, "attempt over") == nil {
		summary = append(summary, "None of its tasks was placed: look for \"no advice\" and for owners without the store.")
	}
	summary = append(summary, quotaWaits(own)...)
	summary = append(summary, heldBack(own)...)
	summary = append(summary, attempts(own)...)
	summary = append(summary, endedUnder(own)...)
	if final != nil {
		return append(append(summary, evacuations(others)...), takeovers(others)...)
	}
	return append(summary, "It is not final in these logs.")
}

func find(lines []Line, message string) *Line {
	for i := range lines {
		if lines[i].Message == message {
			return &lines[i]
		}
	}
	return nil
}

func outcomeOf(own []Line) (string, *Line) {
	if final := find(own, "job is final"); final != nil {
		late := "in time"
		if isLate, _ := final.Fields["late"].(bool); isLate {
			late = "late"
		}
		return fmt.Sprintf("The job is %s, %s, after %v: %s.", final.text("state"), late,
			final.duration("age").Round(time.Millisecond), final.text("why")), final
	}
	if refused := find(own, "refused"); refused != nil && find(own, "accepted") == nil {
		return fmt.Sprintf("The job was refused: %s.", refused.text("error")), nil
	}
	if back := &own[len(own)-1]; back.Message == givenBack {
		return fmt.Sprintf("The job was given back, its caller told that it was not taken: the store did not answer for %v, and it could not be in time.",
			back.duration("store_silent").Round(time.Millisecond)), nil
	}
	return "The job was accepted.", nil
}

// attempts counts the attempts that did not end well, by outcome, reason and worker.
func attempts(own []Line) []string {
	counts, workers := map[string]int{}, map[string]map[string]int{}
	for _, line := range own {
		var kind string
		switch line.Message {
		case "attempt over":
			kind = line.text("outcome") + " (" + line.text("why") + ")"
		case "start refused":
			kind = "refused by the worker (" + line.text("reason") + ")"
		case "no advice":
			kind = "without advice"
		default:
			continue
		}
		counts[kind]++
		if workers[kind] == nil {
			workers[kind] = map[string]int{}
		}
		workers[kind][line.text("worker")]++
	}
	var sentences []string
	for kind, count := range counts {
		sentences = append(sentences, fmt.Sprintf("%d attempts were %s, on %d workers.", count, kind, len(workers[kind])))
	}
	slices.Sort(sentences)
	return sentences
}

// quotaWaits says for how long its account's quota held the job back.
func quotaWaits(own []Line) []string {
	held := find(own, quotaHolds)
	if held == nil {
		return nil
	}
	total := time.Duration(0)
	for _, s := range heldByQuota(own, own[len(own)-1].Time) {
		total += s.to.Sub(s.from)
	}
	return []string{fmt.Sprintf("Its account %s was at its quota (%s in use of %s): steps waited %v for that.",
		held.text("account"), held.text("used"), held.text("quota"), total.Round(time.Millisecond))}
}

// endedUnder names the workers that have ended under each task of the job.
func endedUnder(own []Line) []string {
	var tasks []string
	workers := map[string][]string{}
	for _, line := range own {
		if line.Message != "worker has ended under a task" {
			continue
		}
		task := line.text("task")
		if workers[task] == nil {
			tasks = append(tasks, task)
		}
		workers[task] = append(workers[task], line.text("worker"))
	}
	var sentences []string
	for _, task := range tasks {
		sentences = append(sentences, fmt.Sprintf("%d workers ended under %s: %s.", len(workers[task]), task, strings.Join(workers[task], ", ")))
	}
	return sentences
}

// takeovers tells of changes of owner and of outages in the job's time.
func takeovers(others []Line) []string {
	var whys []string
	outages := 0
	for _, line := range others {
		switch line.Message {
		case "shard taken":
			whys = append(whys, line.text("why"))
		case "store does not answer":
			outages++
		}
	}
	var sentences []string
	if len(whys) > 0 {
		sentences = append(sentences, fmt.Sprintf("The shard changed its owner %d times meanwhile: %s.", len(whys), strings.Join(whys, "; ")))
	}
	if outages > 0 {
		sentences = append(sentences, fmt.Sprintf("The store did not answer %d boxes meanwhile.", outages))
	}
	return sentences
}

package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Messages of lines on evacuated data halls.
const (
	hallsEvacuated = "evacuated data halls"
	viewStale      = "nothing is placed: evacuations are unconfirmed"
	viewFresh      = "evacuations are confirmed again"
	startHeldBack  = "start held back"
)

// evacuatedSpans returns the times in which some data hall was evacuated, as the first box to hear
// of each change has it.
func evacuatedSpans(lines []Line) []span {
	var spans []span
	begun, last := time.Time{}, time.Time{}
	newest := 0.0
	for _, line := range lines {
		last = line.Time
		version, _ := line.Fields["version"].(float64)
		if line.Message != hallsEvacuated || version <= newest {
			continue
		}
		newest = version
		evacuated := len(line.texts("halls")) > 0
		switch {
		case evacuated && begun.IsZero():
			begun = line.Time
		case !evacuated && !begun.IsZero():
			spans = append(spans, span{begun, line.Time})
			begun = time.Time{}
		}
	}
	if !begun.IsZero() {
		spans = append(spans, span{begun, last})
	}
	return spans
}

// heldBack counts the starts of a job that were not sent, by why and data hall.
func heldBack(own []Line) []string {
	counts := map[string]int{}
	for _, line := range own {
		if line.Message == startHeldBack {
			counts[line.text("why")+" ("+line.text("hall")+")"]++
		}
	}
	var sentences []string
	for why, count := range counts {
		sentences = append(sentences, fmt.Sprintf("%d starts were held back: %s.", count, why))
	}
	slices.Sort(sentences)
	return sentences
}

// evacuations names the data halls that were evacuated in the job's time.
func evacuations(others []Line) []string {
	var halls []string
	for _, line := range others {
		if line.Message == hallsEvacuated {
			halls = append(halls, line.texts("halls")...)
		}
	}
	if len(halls) == 0 {
		return nil
	}
	slices.Sort(halls)
	return []string{fmt.Sprintf("Data halls were evacuated meanwhile, and got nothing new: %s.", strings.Join(slices.Compact(halls), ", "))}
}

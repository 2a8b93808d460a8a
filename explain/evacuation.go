package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Log messages about evacuated data halls.
const (
	msgHallsEvacuated         = "evacuated data halls"
	msgEvacuationsUnconfirmed = "nothing is placed: evacuations are unconfirmed"
	msgEvacuationsConfirmed   = "evacuations are confirmed again"
	msgStartHeldBack          = "start held back"
)

// evacuatedSpans returns the periods in which at least one data hall was evacuated. Of the lines
// that the boxes log for one version, the first counts.
func evacuatedSpans(lines []Line) []span {
	var spans []span
	start, last := time.Time{}, time.Time{}
	newest := 0.0
	for _, line := range lines {
		last = line.Time
		version, _ := line.Fields["version"].(float64)
		if line.Message != msgHallsEvacuated || version <= newest {
			continue
		}
		newest = version
		evacuated := len(line.stringsField("halls")) > 0
		switch {
		case evacuated && start.IsZero():
			start = line.Time
		case !evacuated && !start.IsZero():
			spans = append(spans, span{start, line.Time})
			start = time.Time{}
		}
	}
	if !start.IsZero() {
		spans = append(spans, span{start, last})
	}
	return spans
}

// heldStarts counts the start orders that were not sent, by reason and data hall.
func heldStarts(own []Line) []string {
	counts := map[string]int{}
	for _, line := range own {
		if line.Message == msgStartHeldBack {
			counts[line.stringField("why")+" ("+line.stringField("hall")+")"]++
		}
	}
	var sentences []string
	for why, count := range counts {
		sentences = append(sentences, fmt.Sprintf("%d start orders were held back: %s.", count, why))
	}
	slices.Sort(sentences)
	return sentences
}

// evacuatedHalls lists the data halls that were evacuated while the job was active.
func evacuatedHalls(others []Line) []string {
	var halls []string
	for _, line := range others {
		if line.Message == msgHallsEvacuated {
			halls = append(halls, line.stringsField("halls")...)
		}
	}
	if len(halls) == 0 {
		return nil
	}
	slices.Sort(halls)
	return []string{fmt.Sprintf("Data halls evacuated in the meantime, with no new starts: %s.", strings.Join(slices.Compact(halls), ", "))}
}

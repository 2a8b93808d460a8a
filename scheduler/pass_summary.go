package scheduler

import (
	"time"

	"github.com/rs/zerolog"

	"chutereach/resource"
)

// passSummary aggregates the dispatch passes between two log lines "steps wait".
type passSummary struct {
	passes  int
	took    time.Duration
	longest time.Duration
	// waiting is the number of steps that waited in the last pass, by cause, and largestWaiting that of
	// the steps of jobs in class sizeclass.Largest.
	waiting, largestWaiting [waitCauses]int
}

// beginPass resets the numbers of waiting steps, which are those of one pass.
func (p *passSummary) beginPass() {
	p.waiting, p.largestWaiting = [waitCauses]int{}, [waitCauses]int{}
}

// endPass adds the duration of a pass.
func (p *passSummary) endPass(took time.Duration) {
	p.passes++
	p.took += took
	p.longest = max(p.longest, took)
}

// logLoad logs the summary, together with the use of the workers and of the nodes for advice, and begins a new
// one. It logs nothing if no step waited in the last pass. The lock is held.
func (s *Scheduler) logLoad() {
	summary := s.passes
	s.passes = passSummary{}
	total := 0
	for _, count := range summary.waiting {
		total += count
	}
	if total == 0 {
		return
	}
	capacity, used := resource.Amount{}, resource.Amount{}
	for _, w := range s.workers {
		if w.wasUsable {
			capacity, used = capacity.Plus(w.info.Capacity), used.Plus(w.used)
		}
	}
	busy, paused, now := 0, 0, time.Now()
	for _, node := range s.adviceNodes {
		if node.pendingCost > 0 {
			busy++
		}
		if now.Before(node.pausedUntil) {
			paused++
		}
	}
	event := s.log.Info().Int("steps", total).Dict("waiting", countsByCause(summary.waiting)).Dict("largest", countsByCause(summary.largestWaiting))
	if capacity.CPU > 0 {
		event.Float64("used", float64(used.CPU)/float64(capacity.CPU))
	}
	event.Int("lanes_busy", busy).Int("lanes_paused", paused).Int("lanes", len(s.adviceNodes)).
		Int("passes", summary.passes).Dur("pass_mean", summary.took/time.Duration(max(1, summary.passes))).Dur("pass_longest", summary.longest).
		Msg("steps wait")
}

// countsByCause returns a dictionary of the nonzero counts for a log line.
func countsByCause(counts [waitCauses]int) *zerolog.Event {
	dict := zerolog.Dict()
	for cause, count := range counts {
		if count > 0 {
			dict.Int(waitCauseNames[cause], count)
		}
	}
	return dict
}

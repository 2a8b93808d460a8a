package scheduler

import (
	"time"

	"chutereach/reliability"
	"chutereach/resource"
)

// maxAvoidedFraction is the largest fraction of a service's workers that may be avoided. If more
// seem to fail, failures do not tell them from healthy ones, and all are used.
const maxAvoidedFraction = 0.25

// poolCounts counts the usable workers of a pool and those that are avoided, and the CPU that they have and that is
// in use.
type poolCounts struct {
	usable, avoided int
	capacity, used  resource.MilliCPU
}

// With returns the counts with another usable worker.
func (s poolCounts) With(w *worker) poolCounts {
	s.usable++
	if w.standing >= reliability.Probing {
		s.avoided++
	}
	s.capacity, s.used = s.capacity+w.info.Capacity.CPU, s.used+w.used.CPU
	return s
}

func (s poolCounts) tooManyAvoided() bool {
	return float64(s.avoided) > maxAvoidedFraction*float64(s.usable)
}

// mostlyIdle reports whether less than half of the pool's CPU is in use.
func (s poolCounts) mostlyIdle() bool { return 2*s.used < s.capacity }

// serviceState is what is kept of a service between passes.
type serviceState struct {
	allTrusted bool      // too many of its workers are avoided, so that all are used
	idleSince  time.Time // since when it has been mostly idle; zero if it is not
}

// updateServices updates what is kept of the services that have usable workers. Where more workers are used than in the
// last pass, steps that found no capacity are tried again.
func (p *pass) updateServices(former map[string]serviceState) {
	p.services = make(map[string]serviceState, len(p.standingCounts))
	for service, counts := range p.standingCounts {
		state := serviceState{allTrusted: counts.tooManyAvoided()}
		if counts.mostlyIdle() {
			if state.idleSince = former[service].idleSince; state.idleSince.IsZero() {
				state.idleSince = p.now
			}
		}
		if state.allTrusted && !former[service].allTrusted {
			p.growAvoided(service)
		}
		p.services[service] = state
	}
}

// growAvoided marks the avoided workers of a service as able to take more than before.
func (p *pass) growAvoided(service string) {
	for _, w := range p.pools[service] {
		if w.standing != reliability.Healthy {
			w.grownSerial = p.serial
		}
	}
	p.lastGrowth[service] = p.serial
}

// idleTime returns how long a service has been mostly idle.
func (p *pass) idleTime(service string) time.Duration {
	since := p.services[service].idleSince
	if since.IsZero() || !p.standingCounts[service].mostlyIdle() {
		return 0
	}
	return p.now.Sub(since)
}

package standin

import (
	"fmt"

	"chutereach/provider"
	"chutereach/resource"
)

// The shape of a worker in both of the example deployments.
const (
	exampleCPU    = 16_000
	exampleMemory = 64 << 30
	exampleCount  = 50
	guildAccs     = 2 // accelerators of every fourth of the Guild's workers
	guildAccEvery = 4
)

// site is a data hall of an example deployment.
type site struct {
	hall    string
	workers int
}

// Manizales returns the workers of the utility: 50 in four halls, 6 to a rack.
func Manizales() []provider.Worker {
	return example([]site{{"chipre", 13}, {"palermo", 13}, {"villamaria", 12}, {"la-cabana", 12}}, 6, 0)
}

// Guild returns the workers of the Guild: 50 in three halls, 8 to a rack, one in
// four with accelerators.
func Guild() []provider.Worker {
	return example([]site{{"burnaby", 17}, {"surrey", 17}, {"richmond", 16}}, 8, guildAccs)
}

// Example returns the fleet called name: manizales, guild or both.
func Example(name string) []provider.Worker {
	switch name {
	case "manizales":
		return Manizales()
	case "guild":
		return Guild()
	}
	return append(Manizales(), Guild()...)
}

func example(sites []site, perRack int, accs int64) []provider.Worker {
	all := make([]provider.Worker, 0, exampleCount)
	for _, s := range sites {
		for i := range s.workers {
			w := provider.Worker{
				Name: fmt.Sprintf("%s-%02d", s.hall, i+1), Hall: s.hall, Rack: fmt.Sprintf("%s-rack-%d", s.hall, i/perRack+1),
				Capacity: resource.Amount{CPU: exampleCPU, Memory: exampleMemory},
			}
			if accs > 0 && i%guildAccEvery == 0 {
				w.Capacity.Accelerators = accs
				w.Labels = map[string]string{"bench": "yes"}
			}
			all = append(all, w)
		}
	}
	return all
}

// Platform is a whole stand-in.
type Platform struct {
	Table   *Table
	Objects *Objects
	Boxes   *BoxList
	Fleet   *Fleet
}

// New returns a stand-in with a fleet whose services really listen.
func New(workers []provider.Worker) *Platform {
	f := NewFleet(workers...)
	f.Serve = true
	return &Platform{Table: NewTable(), Objects: NewObjects(), Boxes: &BoxList{}, Fleet: f}
}

// Interfaces returns p as the platform that it stands in for.
func (p *Platform) Interfaces() provider.Platform {
	return provider.Platform{Table: p.Table, Objects: p.Objects, Boxes: p.Boxes, Workers: p.Fleet}
}

package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"pgregory.net/rapid"

	"chutereach/proptest"
	"chutereach/provider"
	"chutereach/resource"
)

func worker(i int, cpu resource.MilliCPU, mem resource.Bytes, acc int64) provider.Worker {
	return provider.Worker{
		Name: fmt.Sprintf("w%05d", i), Hall: "h", Rack: fmt.Sprintf("r%d", i/8),
		Capacity: resource.Amount{CPU: cpu, Memory: mem, Accelerators: acc},
	}
}

// amount draws an amount up to the capacity of a large worker.
func amount(t *rapid.T, label string) resource.Amount {
	return resource.Amount{
		CPU:          resource.MilliCPU(rapid.Int64Range(0, 64_000).Draw(t, label+" cpu")),
		Memory:       resource.Bytes(rapid.Int64Range(0, 256<<30).Draw(t, label+" memory")),
		Accelerators: rapid.Int64Range(0, 20).Draw(t, label+" accelerators"),
	}
}

// Guards against index corruption after updates and removals: Choose must find a
// worker exactly when Scan does, and the worker must have room.
func TestChooseMatchesScan(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		x := NewIndex()
		free := map[string]resource.Amount{}
		for i := range rapid.IntRange(0, 40).Draw(t, "changes") {
			w := worker(rapid.IntRange(0, 12).Draw(t, "worker"), 64_000, 256<<30, 20)
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0:
				x.Remove(w.Name)
				delete(free, w.Name)
			case 1:
				x.Set(w, amount(t, fmt.Sprint("closed ", i)), true)
				delete(free, w.Name)
			default:
				free[w.Name] = amount(t, fmt.Sprint("free ", i))
				x.Set(w, free[w.Name], false)
			}
		}
		request := Request{Need: amount(t, "need")}
		for _, s := range []Scorer{Spread{}, BinPack{}} {
			w, found := Choose(x, s, request)
			_, want := Scan(x, s, request)
			if found != want {
				t.Fatalf("%T: Choose found = %v, Scan found = %v", s, found, want)
			}
			if found && !request.Need.Fits(free[w.Name]) {
				t.Fatalf("%T: chose %s with %v free, need %v", s, w.Name, free[w.Name], request.Need)
			}
		}
	})
}

func TestChooseConstraints(t *testing.T) {
	x := NewIndex()
	untainted, tainted, accelerated := worker(1, 16_000, 64<<30, 0), worker(2, 16_000, 64<<30, 0), worker(3, 16_000, 64<<30, 2)
	tainted.Taints = []string{"maintenance"}
	accelerated.Labels = map[string]string{"bench": "yes"}
	halfFree := resource.Amount{CPU: 8_000, Memory: 32 << 30}
	x.Set(untainted, halfFree, false)
	x.Set(tainted, tainted.Capacity, false)
	x.Set(accelerated, accelerated.Capacity, false)
	small := resource.Amount{CPU: 1000, Memory: 1 << 30}
	for _, c := range []struct {
		name    string
		request Request
		want    string
	}{
		{"accelerators reserved", Request{Need: small}, untainted.Name},
		{"tolerated taint", Request{Need: small, Tolerations: []string{"maintenance"}}, tainted.Name},
		{"accelerator required", Request{Need: resource.Amount{CPU: 1000, Accelerators: 1}}, accelerated.Name},
		{"affinity", Request{Need: small, Affinity: map[string]string{"bench": "yes"}}, accelerated.Name},
		{"anti-affinity", Request{Need: resource.Amount{CPU: 9000}, AntiAffinity: map[string]string{"bench": "yes"}}, ""},
		{"need exceeds every worker", Request{Need: resource.Amount{CPU: 17_000}}, ""},
		{"siblings spread", Request{Need: small, Tolerations: []string{"maintenance"}, SiblingCounts: func(w provider.Worker) (int, int) {
			if w.Name == tainted.Name {
				return 1, 1
			}
			return 0, 0
		}}, untainted.Name},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, _ := Choose(x, Spread{}, c.request)
			if w.Name != c.want {
				t.Errorf("chose %q, want %q", w.Name, c.want)
			}
		})
	}
}

func TestScorers(t *testing.T) {
	x := NewIndex()
	full, empty := worker(1, 16_000, 64<<30, 0), worker(2, 16_000, 64<<30, 0)
	x.Set(full, resource.Amount{CPU: 2000, Memory: 8 << 30}, false)
	x.Set(empty, empty.Capacity, false)
	request := Request{Need: resource.Amount{CPU: 1000, Memory: 4 << 30}}
	if w, _ := Choose(x, BinPack{}, request); w.Name != full.Name {
		t.Errorf("packing scorer chose %s, want the fuller worker", w.Name)
	}
	if w, _ := Choose(x, Spread{}, request); w.Name != empty.Name {
		t.Errorf("spreading scorer chose %s, want the emptier worker", w.Name)
	}
}

// loadedIndex returns an index of n workers with little free capacity.
func loadedIndex(n int) (*Index, []provider.Worker, map[string]resource.Amount) {
	rng := rand.New(rand.NewPCG(1, 2))
	x, free := NewIndex(), map[string]resource.Amount{}
	var all []provider.Worker
	for i := range n {
		var acc int64
		if i%2 == 0 {
			acc = int64(rng.IntN(2)) * 8 // about 2 per worker on average
		}
		w := worker(i, 16_000, 64<<30, acc)
		remaining := resource.Amount{
			CPU: resource.MilliCPU(rng.Int64N(6000)), Memory: resource.Bytes(rng.Int64N(24 << 30)),
			Accelerators: rng.Int64N(acc + 1),
		}
		x.Set(w, remaining, false)
		free[w.Name] = remaining
		all = append(all, w)
	}
	return x, all, free
}

// taskShapes lists the resource needs of a mixed load.
var taskShapes = []resource.Amount{
	{CPU: 250, Memory: 512 << 20}, {CPU: 500, Memory: 2 << 30}, {CPU: 1000, Memory: 1 << 30},
	{CPU: 2000, Memory: 4 << 30}, {CPU: 4000, Memory: 8 << 30, Accelerators: 1},
}

func benchmark[S Scorer](b *testing.B, n int, s S, choose func(*Index, S, Request) (provider.Worker, bool)) {
	x, _, free := loadedIndex(n)
	byName := map[string]provider.Worker{}
	for name, e := range x.byName {
		byName[name] = e.worker
	}
	rng := rand.New(rand.NewPCG(3, 4))
	type placedTask struct {
		name string
		need resource.Amount
	}
	var running []placedTask
	latency := hdrhistogram.New(1, int64(time.Second), 3)
	b.ReportAllocs()
	for b.Loop() {
		need := taskShapes[rng.IntN(len(taskShapes))]
		start := time.Now()
		w, found := choose(x, s, Request{Need: need})
		if found {
			free[w.Name] = free[w.Name].Minus(need)
			x.Set(w, free[w.Name], false)
			running = append(running, placedTask{w.Name, need})
		}
		latency.RecordValue(max(time.Since(start).Nanoseconds(), 1))
		if len(running) > n || !found && len(running) > 0 {
			i := rng.IntN(len(running))
			p := running[i]
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
			free[p.name] = free[p.name].Plus(p.need)
			x.Set(byName[p.name], free[p.name], false)
		}
	}
	b.ReportMetric(float64(latency.ValueAtPercentile(99)), "ns-p99")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}

// BenchmarkChoose measures a placement and the index update that follows it, with
// Scan as the baseline.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{100, 1000, 4100, 16000} {
		b.Run(fmt.Sprintf("waiting/index/%d", n), func(b *testing.B) { benchmark(b, n, Spread{}, Choose[Spread]) })
		b.Run(fmt.Sprintf("waiting/scan/%d", n), func(b *testing.B) { benchmark(b, n, Spread{}, Scan[Spread]) })
		b.Run(fmt.Sprintf("packing/index/%d", n), func(b *testing.B) { benchmark(b, n, BinPack{}, Choose[BinPack]) })
		b.Run(fmt.Sprintf("packing/scan/%d", n), func(b *testing.B) { benchmark(b, n, BinPack{}, Scan[BinPack]) })
	}
}

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

// amount draws an amount up to that of a large worker.
func amount(t *rapid.T, label string) resource.Amount {
	return resource.Amount{
		CPU:          resource.MilliCPU(rapid.Int64Range(0, 64_000).Draw(t, label+" cpu")),
		Memory:       resource.Bytes(rapid.Int64Range(0, 256<<30).Draw(t, label+" memory")),
		Accelerators: rapid.Int64Range(0, 20).Draw(t, label+" accelerators"),
	}
}

// The index finds room exactly when a look at every worker does, whatever was
// put in, changed and taken out before, and never a worker without room.
func TestIndexFindsRoomWhenThereIsAny(t *testing.T) {
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
		ask := Ask{Need: amount(t, "need")}
		for _, s := range []Scorer{Waiting{}, Packing{}} {
			w, found := Choose(x, s, ask)
			_, want := Scan(x, s, ask)
			if found != want {
				t.Fatalf("%T: found = %v, a scan says %v", s, found, want)
			}
			if found && !ask.Need.Fits(free[w.Name]) {
				t.Fatalf("%T: %s has %v, %v was asked for", s, w.Name, free[w.Name], ask.Need)
			}
		}
	})
}

func TestRulesAndPreferences(t *testing.T) {
	x := NewIndex()
	plain, tainted, fast := worker(1, 16_000, 64<<30, 0), worker(2, 16_000, 64<<30, 0), worker(3, 16_000, 64<<30, 2)
	tainted.Taints = []string{"maintenance"}
	fast.Labels = map[string]string{"bench": "yes"}
	half := resource.Amount{CPU: 8_000, Memory: 32 << 30}
	x.Set(plain, half, false)
	x.Set(tainted, tainted.Capacity, false)
	x.Set(fast, fast.Capacity, false)
	small := resource.Amount{CPU: 1000, Memory: 1 << 30}
	for _, c := range []struct {
		name string
		ask  Ask
		want string
	}{
		{"accelerators are kept", Ask{Need: small}, plain.Name},
		{"taint is tolerated", Ask{Need: small, Tolerates: []string{"maintenance"}}, tainted.Name},
		{"accelerator is needed", Ask{Need: resource.Amount{CPU: 1000, Accelerators: 1}}, fast.Name},
		{"affinity", Ask{Need: small, Affinity: map[string]string{"bench": "yes"}}, fast.Name},
		{"anti-affinity", Ask{Need: resource.Amount{CPU: 9000}, Avoid: map[string]string{"bench": "yes"}}, ""},
		{"too large", Ask{Need: resource.Amount{CPU: 17_000}}, ""},
		{"siblings are kept apart", Ask{Need: small, Tolerates: []string{"maintenance"}, Crowd: func(w provider.Worker) (int, int) {
			if w.Name == tainted.Name {
				return 1, 1
			}
			return 0, 0
		}}, plain.Name},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, _ := Choose(x, Waiting{}, c.ask)
			if w.Name != c.want {
				t.Errorf("chose %q, want %q", w.Name, c.want)
			}
		})
	}
}

func TestPackingFillsAndWaitingSpreads(t *testing.T) {
	x := NewIndex()
	full, empty := worker(1, 16_000, 64<<30, 0), worker(2, 16_000, 64<<30, 0)
	x.Set(full, resource.Amount{CPU: 2000, Memory: 8 << 30}, false)
	x.Set(empty, empty.Capacity, false)
	ask := Ask{Need: resource.Amount{CPU: 1000, Memory: 4 << 30}}
	if w, _ := Choose(x, Packing{}, ask); w.Name != full.Name {
		t.Errorf("packing chose %s", w.Name)
	}
	if w, _ := Choose(x, Waiting{}, ask); w.Name != empty.Name {
		t.Errorf("waiting chose %s", w.Name)
	}
}

// cluster is an index of n workers, nearly full of random tasks.
func cluster(n int) (*Index, []provider.Worker, map[string]resource.Amount) {
	rng := rand.New(rand.NewPCG(1, 2))
	x, free := NewIndex(), map[string]resource.Amount{}
	var all []provider.Worker
	for i := range n {
		var acc int64
		if i%2 == 0 {
			acc = int64(rng.IntN(2)) * 8 // about 2 a worker on average
		}
		w := worker(i, 16_000, 64<<30, acc)
		left := resource.Amount{
			CPU: resource.MilliCPU(rng.Int64N(6000)), Memory: resource.Bytes(rng.Int64N(24 << 30)),
			Accelerators: rng.Int64N(acc + 1),
		}
		x.Set(w, left, false)
		free[w.Name] = left
		all = append(all, w)
	}
	return x, all, free
}

// shapes are the tasks of a mixed load.
var shapes = []resource.Amount{
	{CPU: 250, Memory: 512 << 20}, {CPU: 500, Memory: 2 << 30}, {CPU: 1000, Memory: 1 << 30},
	{CPU: 2000, Memory: 4 << 30}, {CPU: 4000, Memory: 8 << 30, Accelerators: 1},
}

func benchmark[S Scorer](b *testing.B, n int, s S, choose func(*Index, S, Ask) (provider.Worker, bool)) {
	x, _, free := cluster(n)
	byName := map[string]provider.Worker{}
	for name, e := range x.byName {
		byName[name] = e.worker
	}
	rng := rand.New(rand.NewPCG(3, 4))
	type placed struct {
		name string
		need resource.Amount
	}
	var running []placed
	took := hdrhistogram.New(1, int64(time.Second), 3)
	b.ReportAllocs()
	for b.Loop() {
		need := shapes[rng.IntN(len(shapes))]
		begin := time.Now()
		w, found := choose(x, s, Ask{Need: need})
		if found {
			free[w.Name] = free[w.Name].Minus(need)
			x.Set(w, free[w.Name], false)
			running = append(running, placed{w.Name, need})
		}
		took.RecordValue(max(time.Since(begin).Nanoseconds(), 1))
		if len(running) > n || !found && len(running) > 0 {
			i := rng.IntN(len(running))
			p := running[i]
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
			free[p.name] = free[p.name].Plus(p.need)
			x.Set(byName[p.name], free[p.name], false)
		}
	}
	b.ReportMetric(float64(took.ValueAtPercentile(99)), "ns-p99")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}

// BenchmarkChoose measures a decision and the change of the index that follows
// it. Scan is the baseline: a look at every worker.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{100, 1000, 4100, 16000} {
		b.Run(fmt.Sprintf("waiting/index/%d", n), func(b *testing.B) { benchmark(b, n, Waiting{}, Choose[Waiting]) })
		b.Run(fmt.Sprintf("waiting/scan/%d", n), func(b *testing.B) { benchmark(b, n, Waiting{}, Scan[Waiting]) })
		b.Run(fmt.Sprintf("packing/index/%d", n), func(b *testing.B) { benchmark(b, n, Packing{}, Choose[Packing]) })
		b.Run(fmt.Sprintf("packing/scan/%d", n), func(b *testing.B) { benchmark(b, n, Packing{}, Scan[Packing]) })
	}
}

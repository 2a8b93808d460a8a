package node

import (
	"slices"
	"sync"
	"testing"
	"time"

	"chutereach/account"
	"chutereach/routing"
	"chutereach/workload"
)

// slowScheduler records the configurations that it gets. It takes a while for the first one.
type slowScheduler struct {
	mu      sync.Mutex
	queues  []string
	calls   int
	started chan struct{} // closed when it gets the first configuration
}

func (s *slowScheduler) SetAccounts(account.Directory) {
	s.mu.Lock()
	s.calls++
	first := s.calls == 1
	s.mu.Unlock()
	if first {
		close(s.started)
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *slowScheduler) SetQueues(queues []workload.Queue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queues = append(s.queues, queues[0].Name)
}

// Guards against a configuration that is overwritten by an older one: an owner that has just loaded the shard applies
// the table in force, and a newer one arrives meanwhile.
func TestNewerTableIsNotOverwritten(t *testing.T) {
	var routes routing.Newest
	offer := func(version uint64, queue string) {
		routes.Offer(routing.Table{Version: version, Routes: []routing.Route{{Host: "h", Prefix: "/", Queue: workload.Queue{Name: queue}}}})
	}
	c := configurer{current: routes.Current}
	own := &slowScheduler{started: make(chan struct{})}
	offer(1, "old")
	var applied sync.WaitGroup
	applied.Go(func() { c.apply(own) })
	<-own.started
	offer(2, "new")
	applied.Go(func() { c.apply(own) })
	applied.Wait()
	if want := []string{"old", "new"}; !slices.Equal(own.queues, want) {
		t.Errorf("configurations applied: %q, want %q", own.queues, want)
	}
}

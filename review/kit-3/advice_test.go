package kit3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// advice is a stand-in of the service that says which workers may run a step: three of four.
type advice struct {
	// cost returns decisionMs and periodMs for a step.
	cost  func(phase string) (decision, period time.Duration)
	calls atomic.Int64
}

const ticketLife = 2 * time.Second // validMs

// listen serves one machine's calls at a free address, one at a time.
func (a *advice) listen() string {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		cannotRun("advice: %v", err)
	}
	var turn sync.Mutex
	var waiting atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Phase   string   `json:"phase"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		if waiting.Add(1) > 32 {
			waiting.Add(-1)
			reply(w, http.StatusTooManyRequests, nil)
			return
		}
		turn.Lock()
		decision, period := a.cost(body.Phase)
		time.Sleep(decision + time.Duration(len(body.Workers))*period)
		turn.Unlock()
		waiting.Add(-1)
		a.calls.Add(1)
		rows := [][]string{}
		for _, id := range body.Workers {
			if mayRun(body.Phase, id) {
				rows = append(rows, []string{id, fmt.Sprintf("%s/%s/%d", body.Phase, id, time.Now().Add(ticketLife).UnixMilli())})
			}
		}
		reply(w, http.StatusOK, map[string]any{"healthy": rows, "validMs": ticketLife.Milliseconds()})
	})
	go http.Serve(l, mux)
	return l.Addr().String()
}

// mayRun is the policy; it does not change.
func mayRun(phase, worker string) bool {
	sum := 0
	for _, c := range []byte(phase + worker) {
		sum += int(c)
	}
	return sum%4 != 0
}

// accepts reports whether a ticket holds for a task's step at a worker now.
func (a *advice) accepts(ticket, task, worker string) bool {
	phase := task[:strings.LastIndex(task, ".")]
	var until int64
	rest, ok := strings.CutPrefix(ticket, phase+"/"+worker+"/")
	if !ok {
		return false
	}
	fmt.Sscan(rest, &until)
	return time.Now().UnixMilli() <= until
}

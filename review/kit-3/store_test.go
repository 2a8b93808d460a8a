package kit3

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, for the calls on rows.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
	begun   time.Time
	servers []*http.Server

	// answer, if not nil, is asked before each call whether it is served; remote is the caller's address.
	answer func(r *http.Request) bool
	writes int // applied transactions
}

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), begun: time.Now().Add(-time.Hour)}
}

// listen serves the store at a free loopback address and returns it, with a function that ends that service.
func (s *store) listen() (address string, end func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transaction)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		ask := s.answer
		s.mu.Unlock()
		if ask != nil && !ask(r) {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(2 * time.Millisecond)
		mux.ServeHTTP(w, r)
	})}
	go server.Serve(l)
	return l.Addr().String(), func() { server.Close() }
}

func (s *store) now() float64 { return float64(time.Since(s.begun).Milliseconds()) }

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{rowKey{table, "", key}, data, s.ver, false})
	s.wake()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{rowKey{table, "", key}, nil, s.ver, true})
	s.wake()
}

func (s *store) write(r row) {
	if r.Gone {
		if _, there := s.rows[r.rowKey]; !there {
			return
		}
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row    `json:"expectedRevision"`
		Put      []row    `json:"put"`
		Delete   []rowKey `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	found := []row{}
	for _, want := range body.Expected {
		have := s.rows[want.rowKey]
		have.rowKey = want.rowKey
		held = held && have.Ver == want.Ver
		if have.Ver != 0 {
			found = append(found, have)
		}
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": found, "ver": s.ver, "now_ms": s.now()})
		return
	}
	s.ver++
	s.writes++
	for _, p := range body.Put {
		s.write(row{p.rowKey, p.Value, s.ver, false})
	}
	for _, k := range body.Delete {
		s.write(row{k, nil, s.ver, true})
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("targetVersion") == "" || k.Key < q.Get("targetVersion")) {
			list = append(list, v)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Key < list[k].Key })
	more := len(list) > limit
	reply(w, http.StatusOK, map[string]any{"rows": list[:min(limit, len(list))], "more": more, "ver": s.ver, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("dependsOn"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		list := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				list = append(list, h)
			}
		}
		ver, now, changed := s.ver, s.now(), s.changed
		s.mu.Unlock()
		timedOut := false
		if len(list) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end.C:
				timedOut = true
			}
		}
		if len(list) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"rows": list, "ver": ver, "now_ms": now})
			return
		}
	}
}

// owner returns the node that the system's own row names as the one that writes, by its text.
func (s *store) table(table string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := map[string][]byte{}
	for k, v := range s.rows {
		if k.Table == table {
			rows[k.Key] = v.Value
		}
	}
	return rows
}

package kit2

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the settings of a process name them.
const (
	rowBytes      = 65536
	maxEntries    = 100
	maxTxBytes    = 1 << 20
	maxPageRows   = 500
	historyLength = 20 * time.Second
	txTime        = 5 * time.Millisecond
	readTime      = 4 * time.Millisecond
)

type rowID struct{ Table, Part, Key string }

type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

type change struct {
	at  time.Time
	row row
}

// Store is the platform's metadata store: rows, transactions and the feed.
type Store struct {
	rec     *Record
	started time.Time

	mu       sync.Mutex
	ver      uint64
	rows     map[rowID]row
	history  []change
	lostUpTo uint64 // changes up to this version are forgotten
	wake     chan struct{}
	parts    map[string]*sync.Mutex
	refused  map[string]int
}

func newStore(rec *Record) *Store {
	return &Store{rec: rec, started: time.Now(), rows: map[rowID]row{}, wake: make(chan struct{}), parts: map[string]*sync.Mutex{}, refused: map[string]int{}}
}

func (s *Store) serve() string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go http.Serve(listener, mux)
	return listener.Addr().String()
}

func (s *Store) now() int64 { return time.Since(s.started).Milliseconds() + 1 }

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

type transaction struct {
	Expected []row `json:"expectedRevision"`
	Put      []row `json:"put"`
	Delete   []row `json:"delete"`
}

// refuse answers a transaction that breaks a limit of the store. Nothing is done.
func (s *Store) refuse(w http.ResponseWriter, why string) {
	s.mu.Lock()
	s.refused[why]++
	first := s.refused[why] == 1
	s.mu.Unlock()
	if first {
		s.rec.Log("store", "the first transaction is refused with 400: %s", why)
	}
	reply(w, http.StatusBadRequest, map[string]string{"error": why})
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, 64<<20)
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		s.refuse(w, "the body cannot be read")
		return
	}
	parts, total := map[string]bool{}, 0
	for _, list := range [][]row{t.Expected, t.Put, t.Delete} {
		for _, entry := range list {
			parts[entry.Part] = true
			total += len(entry.Value)
		}
	}
	for _, put := range t.Put {
		if len(put.Value) > rowBytes {
			s.rec.Max("largest value offered, bytes", int64(len(put.Value)))
			s.refuse(w, "a value of table "+put.Table+" is longer than row_bytes")
			return
		}
	}
	s.rec.Max("largest transaction offered, bytes of values", int64(total))
	switch {
	case len(t.Expected)+len(t.Put)+len(t.Delete) > maxEntries:
		s.refuse(w, "more than 100 entries")
		return
	case total > maxTxBytes:
		s.refuse(w, "more than 1 MB")
		return
	case len(parts) > 1:
		s.refuse(w, "several parts")
		return
	}
	for part := range parts {
		lock := s.partLock(part)
		lock.Lock()
		time.Sleep(txTime)
		defer lock.Unlock()
	}
	status, body := s.apply(t)
	reply(w, status, body)
}

func (s *Store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

func (s *Store) apply(t transaction) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range t.Expected {
		if s.rows[expected.id()].Ver != expected.Ver {
			seen := []row{}
			for _, e := range t.Expected {
				if now, ok := s.rows[e.id()]; ok {
					seen = append(seen, now)
				}
			}
			return http.StatusPreconditionFailed, map[string]any{"rows": seen, "ver": s.ver, "now_ms": s.now()}
		}
	}
	s.ver++
	for _, put := range t.Put {
		s.set(row{put.Table, put.Part, put.Key, put.Value, s.ver, false})
	}
	for _, gone := range t.Delete {
		if _, ok := s.rows[gone.id()]; ok {
			s.set(row{gone.Table, gone.Part, gone.Key, nil, s.ver, true})
		}
	}
	close(s.wake)
	s.wake = make(chan struct{})
	return http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now()}
}

func (s *Store) set(r row) {
	if r.Gone {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	now := time.Now()
	s.history = append(s.history, change{now, r})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyLength {
		s.lostUpTo = s.history[0].row.Ver
		s.history = s.history[1:]
	}
}

// Put writes a row as the operator or a worker does.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.apply(transaction{Put: []row{{Table: table, Key: key, Value: data}}})
}

// Remove deletes a row as a worker that leaves does.
func (s *Store) Remove(table, key string) {
	s.apply(transaction{Delete: []row{{Table: table, Key: key}}})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	found := []row{}
	for id, entry := range s.rows {
		if id.Table == q.Get("table") && id.Part == q.Get("part") && id.Key >= q.Get("from") && (q.Get("targetVersion") == "" || id.Key < q.Get("targetVersion")) {
			found = append(found, entry)
		}
	}
	ver, now := s.ver, s.now()
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more, total := false, 0
	for i, entry := range found {
		total += len(entry.Value)
		if i >= limit || i > 0 && total > maxTxBytes {
			found, more = found[:i], true
			break
		}
	}
	reply(w, http.StatusOK, map[string]any{"rows": found, "more": more, "ver": ver, "now_ms": now})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("dependsOn"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if after < s.lostUpTo {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		rows := []row{}
		for _, c := range s.history {
			if c.row.Ver > after && c.row.Table == q.Get("table") {
				rows = append(rows, c.row)
			}
		}
		ver, now, wake := s.ver, s.now(), s.wake
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": now})
			return
		}
		select {
		case <-wake:
		case <-deadline.C:
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": now})
			return
		case <-r.Context().Done():
			return
		}
	}
}

package cases

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	log     []row // changes in order
	ver     uint64
	changed chan struct{}
	begun   time.Time
	part    sync.Mutex // transactions take turns
}

type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), begun: time.Now(), ver: 1}
}

func (s *store) put(table, key string, value any) {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value)
	}
	s.apply(nil, []row{{Table: table, Key: key, Value: data}}, nil)
}

// apply carries out a transaction; conflict has the rows of the conditions if one does not hold.
func (s *store) apply(conditions, puts, deletes []row) (ver uint64, conflict []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bad := false
	for _, c := range conditions {
		bad = bad || s.rows[c.id()].Ver != c.Ver
	}
	if bad {
		conflict = []row{}
		for _, c := range conditions {
			if have, ok := s.rows[c.id()]; ok {
				conflict = append(conflict, have)
			} else {
				conflict = append(conflict, row{Table: c.Table, Part: c.Part, Key: c.Key})
			}
		}
		return s.ver, conflict
	}
	s.ver++
	for _, p := range puts {
		p.Ver = s.ver
		s.rows[p.id()] = p
		s.log = append(s.log, p)
	}
	for _, d := range deletes {
		if _, ok := s.rows[d.id()]; !ok {
			continue
		}
		delete(s.rows, d.id())
		d.Ver, d.Gone, d.Value = s.ver, true, nil
		s.log = append(s.log, d)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver, nil
}

// serve serves the store and returns its address.
func (s *store) serve() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.read)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	go http.Serve(l, mux)
	return l.Addr().String()
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) now() float64 { return float64(time.Since(s.begun).Milliseconds()) + 1000 }

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Conditions []row `json:"expectedRevision"`
		Put        []row `json:"put"`
		Delete     []row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || len(b.Conditions)+len(b.Put)+len(b.Delete) > 100 {
		w.WriteHeader(400)
		return
	}
	for _, p := range b.Put {
		if len(p.Value) > 65536 || len(p.Key) > 200 {
			w.WriteHeader(400)
			return
		}
	}
	s.part.Lock()
	time.Sleep(4 * time.Millisecond)
	ver, conflict := s.apply(b.Conditions, b.Put, b.Delete)
	s.part.Unlock()
	if conflict != nil {
		answer(w, 412, map[string]any{"rows": conflict, "ver": ver, "now_ms": s.now()})
		return
	}
	answer(w, 200, map[string]any{"ver": ver, "now_ms": s.now()})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	list := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") {
			list = append(list, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(list, func(i, k int) bool { return list[i].Key < list[k].Key })
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	time.Sleep(2 * time.Millisecond)
	answer(w, 200, map[string]any{"rows": list, "more": more, "ver": ver, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("dependsOn"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		newest := map[string]row{}
		for i := len(s.log) - 1; i >= 0 && s.log[i].Ver > after; i-- {
			x := s.log[i]
			if _, seen := newest[x.id()]; !seen && x.Table == q.Get("table") {
				newest[x.id()] = x
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(newest) > 0 || ctx.Err() != nil {
			list := []row{}
			for _, x := range newest {
				list = append(list, x)
			}
			sort.Slice(list, func(i, k int) bool { return list[i].Ver < list[k].Ver })
			answer(w, 200, map[string]any{"rows": list, "ver": ver, "now_ms": s.now()})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

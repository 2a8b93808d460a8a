package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, from the settings of a small deployment and from PROTOCOL.md.
const (
	rowBytes      = 65536
	maxEntries    = 100
	maxTxBytes    = 1 << 20
	txTime        = 5 * time.Millisecond
	maxReadRows   = 500
	operatorTable = "op"
	workersTable  = "servers"
)

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

// store is the platform's metadata store in memory.
type store struct {
	record  *record
	started time.Time
	offset  int64 // of the store's clock, in milliseconds

	txMu sync.Mutex // one partition takes transactions in turn

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}
	refused map[string]int // transactions over a limit, by reason
	largest int            // value that was written
}

func newStore(r *record) *store {
	return &store{record: r, started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), refused: map[string]int{}}
}

func (s *store) nowMS() int64 { return s.offset + time.Since(s.started).Milliseconds() }

// shardRows returns how many rows the system keeps, by table, and their size.
func (s *store) shardRows() (map[string]int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tables, size := map[string]int{}, 0
	for k, r := range s.rows {
		if k.Part != "" {
			tables[k.Table]++
			size += len(r.Value)
		}
	}
	return tables, size
}

// put writes a row for the operator or a worker.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{rowKey: rowKey{table, "", key}, Value: data}}, nil)
}

// remove deletes a row for the operator or a worker.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []rowKey{{table, "", key}})
}

// apply writes and deletes rows as one transaction. s.mu must be held.
func (s *store) apply(puts []row, deletes []rowKey) {
	s.ver++
	for _, p := range puts {
		p.Ver = s.ver
		s.rows[p.rowKey] = p
		s.history = append(s.history, p)
		s.largest = max(s.largest, len(p.Value))
	}
	for _, k := range deletes {
		if _, there := s.rows[k]; there {
			delete(s.rows, k)
			s.history = append(s.history, row{rowKey: k, Ver: s.ver, Gone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transaction)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	return mux
}

type txBody struct {
	Conditions []row    `json:"expectedRevision"`
	Put        []row    `json:"put"`
	Delete     []rowKey `json:"delete"`
}

// overLimit returns which limit of the store a transaction exceeds, or "". The size is that of the decoded values,
// the most lenient reading of the page.
func (b txBody) overLimit() string {
	size := 0
	for _, p := range b.Put {
		if len(p.Value) > rowBytes {
			return "a value over row_bytes"
		}
		size += len(p.Value)
	}
	switch {
	case len(b.Conditions)+len(b.Put)+len(b.Delete) > maxEntries:
		return "over 100 entries"
	case size > maxTxBytes:
		return "over 1 MB"
	}
	return ""
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var body txBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if why := body.overLimit(); why != "" {
		s.refuse(why, body)
		reply(w, http.StatusBadRequest, map[string]any{"ver": s.version(), "now_ms": s.nowMS()})
		return
	}
	s.txMu.Lock()
	defer s.txMu.Unlock()
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	holds := true
	for _, c := range body.Conditions {
		have := s.rows[c.rowKey]
		have.rowKey = c.rowKey
		found = append(found, have)
		holds = holds && have.Ver == c.Ver
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": found, "ver": s.ver, "now_ms": s.nowMS()})
		return
	}
	s.apply(body.Put, body.Delete)
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.nowMS()})
}

func (s *store) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ver
}

// refuse records a transaction over a limit; the first of each kind in full.
func (s *store) refuse(why string, body txBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[why]++
	if s.refused[why] > 1 {
		return
	}
	for _, p := range body.Put {
		s.record.line("store refuses a transaction (%s): %s/%s/%s of %d bytes", why, p.Table, p.Part, p.Key, len(p.Value))
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxReadRows {
		limit = maxReadRows
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, found := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("targetVersion") == "" || k.Key < q.Get("targetVersion")) {
			rows = append(rows, found)
		}
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	size, count := 0, 0
	for _, found := range rows {
		if size += len(found.Value); count == limit || count > 0 && size > maxTxBytes {
			break
		}
		count++
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows[:count], "more": count < len(rows), "ver": s.ver, "now_ms": s.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("dependsOn"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(h row, v uint64) int {
			if h.Ver < v {
				return -1
			}
			return 1
		})
		rows := []row{}
		for _, h := range s.history[from:] {
			if h.Table == q.Get("table") {
				rows = append(rows, h)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		answer := map[string]any{"rows": rows, "ver": ver, "now_ms": s.nowMS()}
		if len(rows) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data := []byte("{}")
	if body != nil {
		data, _ = json.Marshal(body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

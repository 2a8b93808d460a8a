package tool

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"chutereach/platformhttp"
	"chutereach/standin"
)

type standinCommand struct {
	Listen string        `long:"listen" default:"127.0.0.1:7400" description:"address to listen on"`
	Fleet  string        `long:"fleet" default:"both" choice:"manizales" choice:"guild" choice:"both" description:"whose workers to stand in for"`
	Delay  time.Duration `long:"table-delay" default:"5ms" description:"what each request to the table takes"`
	Rate   float64       `long:"table-rate" default:"2000" description:"requests a second that the table takes"`
}

const (
	witnessPath  = "/witness"
	standinBurst = 200
)

// Witnessed is what the workers of a stand-in saw.
type Witnessed struct {
	Broken  []string       `json:"broken"`
	Starts  map[string]int `json:"starts"`
	Ends    map[string]int `json:"ends"`
	Running int            `json:"running"`
	Commits int64          `json:"table_commits"`
	Reads   int64          `json:"table_reads"`
	Bytes   int64          `json:"table_bytes"`
}

// Execute implements flags.Commander.
func (s *standinCommand) Execute([]string) error {
	p := standin.New(standin.Example(s.Fleet))
	defer p.Fleet.Close()
	p.Table.Faults.Always(standin.Fault{Delay: s.Delay})
	p.Table.Faults.Limit(s.Rate, standinBurst)
	mux := http.NewServeMux()
	mux.Handle("/", platformhttp.Handler(p.Interfaces()))
	mux.HandleFunc("GET "+witnessPath, func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(witnessed(p))
	})
	server := &http.Server{Addr: s.Listen, Handler: mux}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	fmt.Fprintf(os.Stderr, "stand-in of the platform listens on %s\n", s.Listen)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func witnessed(p *standin.Platform) Witnessed {
	w := p.Fleet.Witness
	return Witnessed{
		Broken: w.Broken(), Starts: w.Starts(), Ends: w.Ends(), Running: w.Running(),
		Commits: p.Table.Commits.Load(), Reads: p.Table.Reads.Load(), Bytes: p.Table.Bytes.Load(),
	}
}

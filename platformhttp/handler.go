package platformhttp

import (
	"context"
	"net/http"

	"chutereach/codec"
	"chutereach/provider"
)

// Handler serves a platform over HTTP. It is how the stand-in is reached.
func Handler(p provider.Platform) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathGet, p.Table.Get)
	handle(mux, pathRange, func(ctx context.Context, r rangeRequest) ([]provider.Row, error) {
		return p.Table.Range(ctx, r.Prefix, r.After, r.Limit)
	})
	handle(mux, pathCommit, p.Table.Commit)
	handle(mux, pathObjectPut, func(ctx context.Context, o object) (none, error) {
		return none{}, p.Objects.Put(ctx, o.Name, o.Data)
	})
	handle(mux, pathObjectGet, p.Objects.Get)
	handle(mux, pathObjectDel, func(ctx context.Context, name string) (none, error) {
		return none{}, p.Objects.Delete(ctx, name)
	})
	handle(mux, pathBoxes, func(ctx context.Context, _ none) ([]provider.Box, error) { return p.Boxes.List(ctx) })
	handle(mux, pathFleet, func(ctx context.Context, _ none) ([]provider.Worker, error) { return p.Workers.Fleet(ctx) })
	handle(mux, pathList, func(ctx context.Context, r workerRequest[none]) (provider.Report, error) {
		return p.Workers.List(ctx, r.Worker)
	})
	handleWorker(mux, pathStart, p.Workers.Start)
	handleWorker(mux, pathRenew, p.Workers.Renew)
	handleWorker(mux, pathStop, p.Workers.Stop)
	handleWorker(mux, pathCheckpoint, p.Workers.Checkpoint)
	handleWorker(mux, pathThrottle, p.Workers.Throttle)
	return mux
}

func handleWorker[C, A any](mux *http.ServeMux, path string, do func(context.Context, string, C) (A, error)) {
	handle(mux, path, func(ctx context.Context, r workerRequest[C]) (A, error) { return do(ctx, r.Worker, r.Call) })
}

// handle serves one operation. An answer that the platform loses is a
// connection that is cut.
func handle[R, A any](mux *http.ServeMux, path string, do func(context.Context, R) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request R
		if err := codec.ReadRequest(w, r, maxBody, &request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := do(r.Context(), request)
		if err != nil {
			fail(w, err)
			return
		}
		codec.Reply(w, http.StatusOK, answer)
	})
}

// status gives each kind of failure its usual status, for people who watch the
// wire; the client goes by the body.
var status = map[failureKind]int{
	kindUnavailable: http.StatusServiceUnavailable,
	kindLimited:     http.StatusTooManyRequests,
	kindConflict:    http.StatusConflict,
	kindNotFound:    http.StatusNotFound,
	kindRefused:     http.StatusPreconditionFailed,
}

func fail(w http.ResponseWriter, err error) {
	f, answered := pack(err)
	if !answered {
		panic(http.ErrAbortHandler)
	}
	codec.Reply(w, status[f.Kind], f)
}

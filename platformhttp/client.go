package platformhttp

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"chutereach/codec"
	"chutereach/provider"
	"chutereach/transfer"
)

const (
	connsPerHost = 512 // a held-back report takes one for each worker
	idleTimeout  = 90 * time.Second
	dialTimeout  = 2 * time.Second
)

// Client reaches the platform at a base URL.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// Dial returns the platform at base, as in "http://127.0.0.1:7000". Nothing is
// sent yet.
func Dial(base, token string) provider.Platform {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: connsPerHost,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	c := &Client{base: base, token: token, http: &http.Client{Transport: transport}}
	return provider.Platform{Table: table{c}, Objects: objects{c}, Boxes: boxes{c}, Workers: workers{c}}
}

// call makes one request. An error that is none of the platform's own becomes
// an UnavailableError if the request never left, and an UnknownError otherwise.
func call[A, R any](ctx context.Context, c *Client, s provider.Service, path string, request R) (A, error) {
	var answer A
	body, err := codec.Marshal(request)
	if err != nil {
		return answer, &provider.UnavailableError{Service: s, Reason: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer, &provider.UnavailableError{Service: s, Reason: err.Error()}
	}
	req.Header.Set("Content-Type", codec.ContentType)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, classify(s, err)
	}
	defer resp.Body.Close()
	data, _, err := transfer.Read(ctx, resp.Body, maxBody)
	if err != nil {
		return answer, &provider.UnknownError{Service: s, Cause: err}
	}
	return decode[A](s, resp.StatusCode, data)
}

func decode[A any](s provider.Service, status int, data []byte) (A, error) {
	var answer A
	if status == http.StatusOK {
		if err := codec.Unmarshal(data, &answer); err != nil {
			return answer, &provider.UnknownError{Service: s, Cause: err}
		}
		return answer, nil
	}
	var f failure
	if err := codec.Unmarshal(data, &f); err != nil {
		return answer, &provider.UnknownError{Service: s, Cause: &FailureError{"status " + strconv.Itoa(status)}}
	}
	return answer, f.unpack(s)
}

func classify(s provider.Service, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &provider.UnavailableError{Service: s, Reason: op.Error()}
	}
	return &provider.UnknownError{Service: s, Cause: err}
}

type table struct{ c *Client }

func (t table) Get(ctx context.Context, key string) (provider.Row, error) {
	return call[provider.Row](ctx, t.c, provider.TableService, pathGet, key)
}

func (t table) Range(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	return call[[]provider.Row](ctx, t.c, provider.TableService, pathRange, rangeRequest{prefix, after, limit})
}

func (t table) Commit(ctx context.Context, txn provider.Txn) (uint64, error) {
	return call[uint64](ctx, t.c, provider.TableService, pathCommit, txn)
}

type objects struct{ c *Client }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := call[none](ctx, o.c, provider.ObjectService, pathObjectPut, object{name, data})
	return err
}

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return call[[]byte](ctx, o.c, provider.ObjectService, pathObjectGet, name)
}

func (o objects) Delete(ctx context.Context, name string) error {
	_, err := call[none](ctx, o.c, provider.ObjectService, pathObjectDel, name)
	return err
}

type boxes struct{ c *Client }

func (b boxes) List(ctx context.Context) ([]provider.Box, error) {
	return call[[]provider.Box](ctx, b.c, provider.BoxListService, pathBoxes, none{})
}

type workers struct{ c *Client }

func (w workers) Fleet(ctx context.Context) ([]provider.Worker, error) {
	return call[[]provider.Worker](ctx, w.c, provider.WorkerService, pathFleet, none{})
}

func (w workers) List(ctx context.Context, worker string) (provider.Report, error) {
	return onWorker[provider.Report](ctx, w, pathList, worker, none{})
}

func (w workers) Start(ctx context.Context, worker string, c provider.StartCall) (provider.AttemptState, error) {
	return onWorker[provider.AttemptState](ctx, w, pathStart, worker, c)
}

func (w workers) Renew(ctx context.Context, worker string, c provider.RenewCall) (provider.Report, error) {
	return onWorker[provider.Report](ctx, w, pathRenew, worker, c)
}

func (w workers) Stop(ctx context.Context, worker string, c provider.AttemptCall) (provider.AttemptState, error) {
	return onWorker[provider.AttemptState](ctx, w, pathStop, worker, c)
}

func (w workers) Checkpoint(ctx context.Context, worker string, c provider.AttemptCall) (provider.AttemptState, error) {
	return onWorker[provider.AttemptState](ctx, w, pathCheckpoint, worker, c)
}

func (w workers) Throttle(ctx context.Context, worker string, c provider.AttemptCall) (provider.AttemptState, error) {
	return onWorker[provider.AttemptState](ctx, w, pathThrottle, worker, c)
}

func onWorker[A, C any](ctx context.Context, w workers, path, worker string, c C) (A, error) {
	return call[A](ctx, w.c, provider.WorkerService, path, workerRequest[C]{worker, c})
}

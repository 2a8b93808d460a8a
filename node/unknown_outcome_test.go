package node_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chutereach/codec"
	"chutereach/peer"
	"chutereach/routing"
	"chutereach/rowstore/memory"
	"chutereach/scheduler"
	"chutereach/workload"
)

// Guards against a false rejection: the transaction with a job is applied, but its owner does not learn that before a
// worker has told it that another node owns the shard. That node runs the job, so the submission must not be answered
// with an error that says it will not run, even if no owner can be reached.
func TestSubmissionWithLostTransactionIsNotRejected(t *testing.T) {
	callers := map[string]func(*cell, *member) *member{"at the owner": ownerItself, "at another node": connectedNode}
	for name, callerOf := range callers {
		t.Run(name, func(t *testing.T) {
			runInCell(t, 4, func(c *cell) {
				former := c.owner()
				caller := callerOf(c, former)
				c.partitionFrom(former, caller)
				former.storeCaller.SetFault(func(write bool) memory.Fault {
					return memory.Fault{DropResponse: write, DropRequest: !write}
				})
				wantUnconfirmed(t, "submission", c.submit(caller, "job"))
				successor := c.awaitOtherOwner(former, time.Second)
				if successor == nil {
					t.Fatal("no other node owns the shard")
				}
				c.awaitCompleted(successor, "job", 8*time.Second)
			})
		})
	}
}

func ownerItself(_ *cell, former *member) *member { return former }

// connectedNode returns a node that does not take the shard over because the store refuses its calls.
func connectedNode(c *cell, former *member) *member {
	m := c.nodeOtherThan(former)
	m.storeCaller.SetFault(func(bool) memory.Fault { return memory.Fault{Reject: true} })
	return m
}

// partitionFrom cuts two nodes, which may be the same one, off from all others.
func (c *cell) partitionFrom(a, b *member) {
	for _, m := range c.nodes {
		if m == a || m == b {
			continue
		}
		for _, cut := range []*member{a, b} {
			c.network.Partition(cut.name, m.name)
			c.network.Partition(m.name, cut.name)
		}
	}
}

// Guards against a false rejection by a later try of the same call: if an earlier try may have been carried out, a
// rejection of the next one says nothing about the call. An answer that holds for both is returned.
func TestAnswerAfterTryWithUnknownOutcome(t *testing.T) {
	lost := map[string]func(http.ResponseWriter){
		"no response": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"unconfirmed": failWith("unconfirmed"),
	}
	cases := []struct {
		name string
		call func(context.Context, *member) error
		// next is the answer to the second try.
		next func(http.ResponseWriter)
		want func(*testing.T, string, error)
	}{
		{"submission, then over quota", submitJob, failWith("over-quota"), wantUnconfirmed},
		{"submission, then unknown key", submitJob, failWith("key"), wantUnconfirmed},
		{"submission, then no route", submitJob, failWith("no-route"), wantUnconfirmed},
		{"submission, then overloaded", submitJob, failWith("overloaded"), wantUnconfirmed},
		{"submission, then no owner", submitJob, failWith("not-owner"), wantUnconfirmed},
		{"submission, then a failure of unknown kind", submitJob, failWith(""), wantUnconfirmed},
		{"submission, then accepted", submitJob, succeedWith(struct{}{}), wantNoError},
		{"cancellation, then unknown key", cancelJob, failWith("key"), wantUnconfirmed},
		{"cancellation, then no route", cancelJob, failWith("no-route"), wantUnconfirmed},
		{"cancellation, then overloaded", cancelJob, failWith("overloaded"), wantUnconfirmed},
		{"cancellation, then unknown job", cancelJob, failWith("no-such-job"), wantError[*scheduler.UnknownJobError]},
		{"cancellation, then cancelled", cancelJob, succeedWith(struct{}{}), wantNoError},
		{"state, then unknown job", queryState, failWith("no-such-job"), wantError[*scheduler.UnknownJobError]},
		{"state, then unknown key", queryState, failWith("key"), wantError[*routing.KeyError]},
		{"state, then known", queryState, succeedWith(workload.Running), wantNoError},
		{"count of pending jobs, then no route", countPending, failWith("no-route"), wantError[*routing.NoRouteError]},
		{"count of pending jobs, then known", countPending, succeedWith(3), wantNoError},
	}
	for how, first := range lost {
		for _, test := range cases {
			t.Run(how+"/"+test.name, func(t *testing.T) {
				runInCell(t, 2, func(c *cell) {
					owner := c.owner()
					c.answerCalls(owner, first, test.next)
					ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
					defer cancel()
					test.want(t, test.name, test.call(ctx, c.nodeOtherThan(owner)))
				})
			})
		}
	}
}

func submitJob(ctx context.Context, m *member) error {
	return m.Submit(ctx, "job", workload.Record{Request: request(), Queue: queue})
}

func cancelJob(ctx context.Context, m *member) error { return m.Cancel(ctx, anonymousCaller, "job") }

func queryState(ctx context.Context, m *member) error {
	_, err := m.State(ctx, "job")
	return err
}

func countPending(ctx context.Context, m *member) error {
	_, err := m.Pending(ctx, queue.Name)
	return err
}

func failWith(code peer.Code) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		codec.Reply(w, http.StatusUnprocessableEntity, peer.Failure{Code: code, Message: "answer of a test"})
	}
}

func succeedWith(answer any) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { codec.Reply(w, http.StatusOK, answer) }
}

// answerCalls replaces the node's answers to calls about jobs: the first one by first, later ones by next.
func (c *cell) answerCalls(m *member, first, next func(http.ResponseWriter)) {
	mux := m.Mux()
	var calls atomic.Int64
	c.network.Kill(m.name)
	m.server.Close()
	m.server = peer.NewPlainServer(c.network.Listen(m.name), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch path := strings.TrimPrefix(r.URL.Path, "/v1/"); {
		case path != "submit" && path != "cancel" && path != "state" && path != "pending":
			mux.ServeHTTP(w, r)
		case calls.Add(1) == 1:
			first(w)
		default:
			next(w)
		}
	}))
	go m.server.Serve()
}

// wantUnconfirmed fails the test unless err says that the outcome of a call is unknown.
func wantUnconfirmed(t *testing.T, what string, err error) {
	t.Helper()
	wantError[*scheduler.UnconfirmedError](t, what, err)
}

func wantNoError(t *testing.T, what string, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("%s: got %v, want no error", what, err)
	}
}

func wantError[E error](t *testing.T, what string, err error) {
	t.Helper()
	var want E
	if !errors.As(err, &want) {
		t.Errorf("%s: got %v (%T), want %T", what, err, err, want)
	}
}

package transfer_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"chutereach/transfer"
)

func TestRead(t *testing.T) {
	const body = "0123456789"
	errCut := errors.New("connection cut")
	t.Run("complete body", func(t *testing.T) {
		data, received, err := transfer.Read(t.Context(), strings.NewReader(body), int64(len(body)))
		if err != nil || string(data) != body || received.Bytes != len(body) {
			t.Errorf("got %q, %d bytes, error %v; want %q without error", data, received.Bytes, err, body)
		}
	})
	t.Run("one byte over the limit", func(t *testing.T) {
		var large *transfer.TooLargeError
		if _, _, err := transfer.Read(t.Context(), strings.NewReader(body), int64(len(body)-1)); !errors.As(err, &large) {
			t.Errorf("got %v, want TooLargeError", err)
		}
	})
	t.Run("truncated body", func(t *testing.T) {
		broken := io.MultiReader(strings.NewReader(body), iotest.ErrReader(errCut))
		_, _, err := transfer.Read(t.Context(), broken, 1<<10)
		if !errors.Is(err, errCut) || transfer.ReceivedBefore(err).Bytes != len(body) {
			t.Errorf("got %v after %d bytes, want %v after %d", err, transfer.ReceivedBefore(err).Bytes, errCut, len(body))
		}
	})
}

// slowBody returns one byte after each pause.
type slowBody struct {
	ctx    context.Context
	pauses []time.Duration
}

func (b *slowBody) Read(data []byte) (int, error) {
	if len(b.pauses) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.pauses[0]):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	b.pauses = b.pauses[1:]
	return copy(data, "x"), nil
}

func TestStallLimit(t *testing.T) {
	const limit = time.Second
	cases := []struct {
		name   string
		pauses []time.Duration
		bytes  int // received before the stall; -1: the body is read to its end
	}{
		{"slow but progressing", []time.Duration{limit / 2, limit - 1, limit / 2, limit - 1, limit - 1}, -1},
		{"no data", []time.Duration{limit + 1}, 0},
		{"stall within the body", []time.Duration{limit / 2, limit / 2, time.Hour}, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				progressCalls := 0
				ctx, cancel := transfer.WithStallLimit(t.Context(), limit, func() { progressCalls++ })
				defer cancel()
				data, _, err := transfer.Read(ctx, &slowBody{ctx, test.pauses}, 1<<10)
				if test.bytes < 0 {
					if err != nil || len(data) != len(test.pauses) || progressCalls != len(data) {
						t.Errorf("got %d bytes, %d progress calls, error %v; want %d of each without error", len(data), progressCalls, err, len(test.pauses))
					}
					return
				}
				var stalled *transfer.StalledError
				if !errors.As(err, &stalled) || transfer.ReceivedBefore(err).Bytes != test.bytes {
					t.Errorf("got %v, want StalledError after %d bytes", err, test.bytes)
				}
			})
		})
	}
}

func TestCancelStopsStallTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := transfer.WithStallLimit(t.Context(), time.Second, nil)
		cancel()
		transfer.ReportProgress(ctx)
		time.Sleep(time.Minute)
		var stalled *transfer.StalledError
		if errors.As(context.Cause(ctx), &stalled) {
			t.Error("exchange failed with StalledError after it had been canceled")
		}
	})
}

// fullBufferBody fills every buffer before Read returns, at a fixed rate, as a reader of
// chunked HTTP bodies does.
type fullBufferBody struct {
	ctx  context.Context
	left int
	rate int // bytes per second
}

func (b *fullBufferBody) Read(data []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(b.left, len(data))
	select {
	case <-time.After(time.Duration(n) * time.Second / time.Duration(b.rate)):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	b.left -= n
	return n, nil
}

// A body whose reader fills whole buffers must not stall because a single read takes longer
// than the limit.
func TestReadFullBuffersWithinStallLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, rate = 1_000_000, 50_000
		ctx, cancel := transfer.WithStallLimit(t.Context(), time.Second, nil)
		defer cancel()
		data, _, err := transfer.Read(ctx, &fullBufferBody{ctx, size, rate}, 2*size)
		if err != nil || len(data) != size {
			t.Errorf("got %d bytes, error %v; want %d without error", len(data), err, size)
		}
	})
}

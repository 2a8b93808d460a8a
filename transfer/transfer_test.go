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
	cut := errors.New("cut")
	t.Run("a whole body", func(t *testing.T) {
		data, received, err := transfer.Read(t.Context(), strings.NewReader(body), int64(len(body)))
		if err != nil || string(data) != body || received.Bytes != len(body) {
			t.Errorf("%q, %d bytes, %v", data, received.Bytes, err)
		}
	})
	t.Run("one byte too many", func(t *testing.T) {
		var large *transfer.TooLargeError
		if _, _, err := transfer.Read(t.Context(), strings.NewReader(body), int64(len(body)-1)); !errors.As(err, &large) {
			t.Errorf("got %v, want TooLargeError", err)
		}
	})
	t.Run("a body that breaks off", func(t *testing.T) {
		broken := io.MultiReader(strings.NewReader(body), iotest.ErrReader(cut))
		_, _, err := transfer.Read(t.Context(), broken, 1<<10)
		if !errors.Is(err, cut) || transfer.ReceivedBefore(err).Bytes != len(body) {
			t.Errorf("%v after %d bytes", err, transfer.ReceivedBefore(err).Bytes)
		}
	})
}

// slowBody yields a byte after each pause.
type slowBody struct {
	ctx    context.Context
	pauses []time.Duration
}

// Read implements io.Reader.
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

func TestAnExchangeIsBoundedByItsProgress(t *testing.T) {
	const limit = time.Second
	cases := []struct {
		name   string
		pauses []time.Duration
		bytes  int // that come before it is given up; -1: all come
	}{
		{"a long one that goes on", []time.Duration{limit / 2, limit - 1, limit / 2, limit - 1, limit - 1}, -1},
		{"nothing comes", []time.Duration{limit + 1}, 0},
		{"it stops in the middle", []time.Duration{limit / 2, limit / 2, time.Hour}, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				notes := 0
				ctx, cancel := transfer.WithStallLimit(t.Context(), limit, func() { notes++ })
				defer cancel()
				data, _, err := transfer.Read(ctx, &slowBody{ctx, test.pauses}, 1<<10)
				if test.bytes < 0 {
					if err != nil || len(data) != len(test.pauses) || notes != len(data) {
						t.Errorf("%d bytes, %d notes, %v", len(data), notes, err)
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

func TestAnEndedExchangeIsNotWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := transfer.WithStallLimit(t.Context(), time.Second, nil)
		cancel()
		transfer.Progressed(ctx)
		time.Sleep(time.Minute)
		var stalled *transfer.StalledError
		if errors.As(context.Cause(ctx), &stalled) {
			t.Error("an exchange that had ended was given up for a stall")
		}
	})
}

// greedyBody fills every buffer to its end, as a reader of HTTP's chunks does, at a rate.
type greedyBody struct {
	ctx  context.Context
	left int
	rate int // bytes a second
}

// Read implements io.Reader.
func (b *greedyBody) Read(data []byte) (int, error) {
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

func TestALargeBufferIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, rate = 1_000_000, 50_000
		ctx, cancel := transfer.WithStallLimit(t.Context(), time.Second, nil)
		defer cancel()
		data, _, err := transfer.Read(ctx, &greedyBody{ctx, size, rate}, 2*size)
		if err != nil || len(data) != size {
			t.Errorf("%d bytes, %v", len(data), err)
		}
	})
}

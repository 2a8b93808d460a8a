// Package transfer is for exchanges whose size grows with the deployment: the
// configuration, the members, the rows of a shard. They are bounded by their progress
// instead of by a time for the whole, and tell how far they had come when they broke off.
package transfer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// Received is what came of one answer's body.
type Received struct {
	Bytes int
	Took  time.Duration // from the beginning of the body to its end
}

// Plus returns what came of two answers, one after the other.
func (r Received) Plus(other Received) Received {
	return Received{r.Bytes + other.Bytes, r.Took + other.Took}
}

// BrokenOffError says that a body ended before it was whole.
type BrokenOffError struct {
	Received
	Cause error
}

func (e *BrokenOffError) Error() string {
	return fmt.Sprintf("the answer broke off after %d bytes and %v: %v", e.Bytes, e.Took.Round(time.Millisecond), e.Cause)
}

func (e *BrokenOffError) Unwrap() error { return e.Cause }

// TooLargeError says that a body is larger than the reader takes.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the answer has more than %d bytes", e.Limit)
}

// Read reads a body of at most limit bytes to its end, and notes each piece as progress of
// the exchange that ctx is for.
func Read(ctx context.Context, body io.Reader, limit int64) ([]byte, Received, error) {
	begun := time.Now()
	data, err := io.ReadAll(&noting{ctx, io.LimitReader(body, limit+1)})
	received := Received{len(data), time.Since(begun)}
	switch {
	case err != nil:
		return nil, received, &BrokenOffError{received, Cause(ctx, err)}
	case int64(len(data)) > limit:
		return nil, received, &TooLargeError{limit}
	}
	return data, received, nil
}

// Sending returns a request's body that notes progress, of the exchange that ctx is for, as
// it is sent. A small one is sent at once, and copied less.
func Sending(ctx context.Context, data []byte) io.ReadCloser {
	if len(data) <= grain {
		return io.NopCloser(bytes.NewReader(data))
	}
	return io.NopCloser(&noting{ctx, bytes.NewReader(data)})
}

// grain is how many bytes are read at once at most, so that progress is noted that often. A
// reader of HTTP's chunks fills all of the buffer that it is given before it returns: on a
// slow link a large buffer would look like a stall.
const grain = 16 << 10

// noting is a body that notes progress.
type noting struct {
	ctx  context.Context
	body io.Reader
}

// Read implements io.Reader.
func (r *noting) Read(data []byte) (int, error) {
	n, err := r.body.Read(data[:min(len(data), grain)])
	if n > 0 {
		Progressed(r.ctx)
	}
	return n, err
}

// ReceivedBefore returns what had come of an answer that ended with an error: nothing, if
// the error does not say so.
func ReceivedBefore(err error) Received {
	var broken *BrokenOffError
	if errors.As(err, &broken) {
		return broken.Received
	}
	return Received{}
}

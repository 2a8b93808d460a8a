// Package transfer bounds HTTP exchanges whose size grows with the deployment: the
// configuration, the member list, the rows of a shard. An exchange fails if it stalls, not
// after a fixed total time, and its error says how much was received.
package transfer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// Received is the size of a response body as read, and the time that reading it took.
type Received struct {
	Bytes int
	Took  time.Duration
}

// Plus returns the totals of two responses that were read one after the other.
func (r Received) Plus(other Received) Received {
	return Received{r.Bytes + other.Bytes, r.Took + other.Took}
}

// TruncatedError is returned when reading a response body failed before its end. Received
// covers the part that was read.
type TruncatedError struct {
	Received
	Cause error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("response body truncated after %d bytes in %v: %v", e.Bytes, e.Took.Round(time.Millisecond), e.Cause)
}

func (e *TruncatedError) Unwrap() error { return e.Cause }

// ReceivedPart implements Partial.
func (e *TruncatedError) ReceivedPart() Received { return e.Received }

// Partial is an error that says how much of a response was read before it.
type Partial interface {
	error
	ReceivedPart() Received
}

// TooLargeError is returned when a response body is longer than Limit bytes.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("response body too large: want at most %d bytes", e.Limit)
}

// Read reads a body of at most limit bytes to its end and reports each read to the stall
// timer of ctx. It returns a TruncatedError or a TooLargeError on failure.
func Read(ctx context.Context, body io.Reader, limit int64) ([]byte, Received, error) {
	start := time.Now()
	data, err := io.ReadAll(&progressReader{ctx, io.LimitReader(body, limit+1)})
	received := Received{len(data), time.Since(start)}
	switch {
	case err != nil:
		return nil, received, &TruncatedError{received, Cause(ctx, err)}
	case int64(len(data)) > limit:
		return nil, received, &TooLargeError{limit}
	}
	return data, received, nil
}

// RequestBody returns a request body for data that reports progress to the stall timer of ctx as
// it is sent. Bodies of up to maxReadSize bytes report none: one read sends them whole.
func RequestBody(ctx context.Context, data []byte) io.ReadCloser {
	if len(data) <= maxReadSize {
		return io.NopCloser(bytes.NewReader(data))
	}
	return io.NopCloser(&progressReader{ctx, bytes.NewReader(data)})
}

// maxReadSize limits a single read. Readers of chunked HTTP bodies fill the whole buffer
// before they return, so reading into a large buffer over a slow link would look like a stall.
const maxReadSize = 16 << 10

// progressReader reports progress on each read that returns data.
type progressReader struct {
	ctx  context.Context
	body io.Reader
}

func (r *progressReader) Read(data []byte) (int, error) {
	n, err := r.body.Read(data[:min(len(data), maxReadSize)])
	if n > 0 {
		ReportProgress(r.ctx)
	}
	return n, err
}

// ReceivedBefore returns how much of a response was read before err, or the zero value if err
// wraps no Partial error.
func ReceivedBefore(err error) Received {
	var partial Partial
	if errors.As(err, &partial) {
		return partial.ReceivedPart()
	}
	return Received{}
}

package guard

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// body is the body of a request. It is charged once it is read, and tells the connection when it is complete.
type body struct {
	io.ReadCloser
	conn   *conn
	length int64 // negative: not announced
	header http.Header

	begun, ended bool
}

func (b *body) Read(data []byte) (int, error) {
	if !b.begun {
		b.begun = true
		if b.length > 0 {
			if err := b.conn.chargeBody(b.length); err != nil {
				return 0, err
			}
		}
	}
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF && !b.ended {
		b.ended = true
		b.header.Del("Connection") // it can serve further requests
		b.conn.beServed()
	}
	return n, err
}

// BodyTooLargeError is returned when a request's body is longer than Limit bytes.
type BodyTooLargeError struct{ Limit int64 }

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("request body too large: want at most %d bytes", e.Limit)
}

// firstBuffer is the size of the buffer for a body of which nothing has arrived.
const firstBuffer = 4 << 10

// ReadBody reads the body of a request. It returns a BodyTooLargeError if that is longer than limit bytes, at
// once if the request announces it. The buffer grows as bytes arrive, whatever is announced.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &BodyTooLargeError{limit}
	}
	most := limit + 1 // one more than the body, so that its end is read with it
	if r.ContentLength >= 0 {
		most = r.ContentLength + 1
	}
	data := make([]byte, 0, min(most, firstBuffer))
	for {
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, &BodyTooLargeError{limit}
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
		if len(data) == cap(data) {
			data = append(make([]byte, 0, min(2*int64(cap(data)), most)), data...)
		}
	}
}

// maxText bounds a text that a client determines where it is logged or sent back.
const maxText = 200

// Abridge returns the beginning of a long text.
func Abridge(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "") + "..."
}

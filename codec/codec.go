// Package codec encodes stored data and messages as CBOR, with times in nanoseconds.
// The library's default truncates times to whole seconds, which shortened the
// deadlines of requests by up to a second.
package codec

import (
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

var encMode = newMode()

func newMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, TimeTag: cbor.EncTagRequired}.EncMode()
	if err != nil {
		panic(err) // impossible: the options are constant
	}
	return m
}

// Marshal returns the CBOR encoding of v.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// MustMarshal is like Marshal but panics on errors. It is for types that always have
// an encoding, such as rows of the table.
func MustMarshal(v any) []byte {
	data, err := Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Raw is an encoded value, which Marshal copies unchanged.
type Raw = cbor.RawMessage

// Unmarshal decodes data into v, which must be a pointer.
func Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// ContentType is the media type of encoded bodies.
const ContentType = "application/cbor"

// ReadRequest decodes the body of a request into v. It fails if the body exceeds limit
// bytes.
func ReadRequest(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return err
	}
	return Unmarshal(data, v)
}

// Reply writes a response with the encoding of v as its body.
func Reply(w http.ResponseWriter, status int, v any) {
	data, err := Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(status)
	w.Write(data)
}

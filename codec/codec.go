// Package codec is how the project writes what it keeps and sends: CBOR, with
// times to the nanosecond. The library's default cuts times to whole seconds,
// which once cost requests up to a second of their deadlines.
package codec

import (
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

var mode = newMode()

func newMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, TimeTag: cbor.EncTagRequired}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// Marshal returns v as CBOR.
func Marshal(v any) ([]byte, error) { return mode.Marshal(v) }

// MustMarshal is Marshal for types that hold nothing that CBOR refuses, as the
// project's rows are.
func MustMarshal(v any) []byte {
	data, err := Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// Raw is a value that Marshal has written already.
type Raw = cbor.RawMessage

// Unmarshal reads what Marshal wrote.
func Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// ContentType is what bodies of this codec are marked with.
const ContentType = "application/cbor"

// ReadRequest reads a request's body of at most limit bytes into v.
func ReadRequest(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return err
	}
	return Unmarshal(data, v)
}

// Reply answers a request with v.
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

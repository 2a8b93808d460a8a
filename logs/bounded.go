package logs

import (
	"expvar"
	"io"

	"github.com/rs/zerolog/diode"
)

// Bounded returns a writer that never blocks: at most lines wait to be written,
// and what is left out is counted.
func Bounded(w io.Writer, lines int) (io.WriteCloser, *expvar.Int) {
	missed := new(expvar.Int)
	return diode.NewWriter(w, lines, 0, func(n int) { missed.Add(int64(n)) }), missed
}

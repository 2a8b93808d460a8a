// Package logs creates zerolog loggers for the parts of the daemon.
package logs

import (
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
)

// Part names a part of the daemon; it is the prefix of the part's lines.
type Part string

// The parts that log.
const (
	Box       Part = "box"
	API       Part = "api"
	Ownership Part = "ownership"
	Hall      Part = "hall"
	Route     Part = "route"
	Peer      Part = "peer"
	Publish   Part = "publish"
	Entry     Part = "entry"
	Node      Part = "node"
	Store     Part = "store"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

const partField = "part"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger that writes to w, as JSON or in a format for terminals.
//
// Timestamps have milliseconds, because related events on two machines are often
// less than a second apart.
func New(w io.Writer, json bool, level zerolog.Level) zerolog.Logger {
	if !json {
		w = zerolog.ConsoleWriter{
			Out: w, TimeFormat: time.TimeOnly, NoColor: !supportsColor(w),
			PartsOrder:    []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, partField, zerolog.MessageFieldName},
			FieldsExclude: []string{partField},
		}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}

// supportsColor reports whether w is a terminal and NO_COLOR is not set.
func supportsColor(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && isatty.IsTerminal(f.Fd()) && os.Getenv("NO_COLOR") == ""
}

// For returns l with the prefix of part p.
func For(l zerolog.Logger, p Part) zerolog.Logger {
	return l.With().Str(partField, string(p)).Logger()
}

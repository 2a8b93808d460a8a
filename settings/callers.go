package settings

import (
	"cmp"
	"fmt"
	"time"

	"chutereach/guard"
)

// Callers bounds what the clients of the interface for callers take together, and each of them.
type Callers struct {
	Connections   int           `long:"connections" ini-name:"connections" env:"CONNECTIONS" default:"0" description:"connections of callers open at once; 0: a share of the memory and the descriptors"`
	Memory        int           `long:"memory" ini-name:"memory" env:"MEMORY" default:"0" description:"MiB that requests in hand may take; 0: an eighth of the memory"`
	HeaderBytes   int           `long:"header-bytes" ini-name:"header-bytes" env:"HEADER_BYTES" default:"65536" description:"longest header of a request, unless the operator's configuration says another"`
	HeaderTimeout time.Duration `long:"header-timeout" ini-name:"header-timeout" env:"HEADER_TIMEOUT" default:"5s" description:"within which the header of a request must arrive"`
	BodyTimeout   time.Duration `long:"body-timeout" ini-name:"body-timeout" env:"BODY_TIMEOUT" default:"30s" description:"within which the body of a request must arrive"`
	IdleTimeout   time.Duration `long:"idle-timeout" ini-name:"idle-timeout" env:"IDLE_TIMEOUT" default:"2m" description:"for which a connection may be idle between requests"`
	WriteTimeout  time.Duration `long:"write-timeout" ini-name:"write-timeout" env:"WRITE_TIMEOUT" default:"10s" description:"for which a caller may read nothing of an answer"`
}

// Limits returns the limits for requests with bodies of a size, on a machine with memory in MiB and a
// number of descriptors of which callers may take a share. What is 0 has its default.
func (c Callers) Limits(memory, descriptors int, share float64, body int64) guard.Limits {
	l := guard.DefaultLimits().ForMachine(int64(memory)<<20, descriptors, share).WithRequestBytes(c.HeaderBytes, body)
	l.HeaderTimeout = cmp.Or(c.HeaderTimeout, l.HeaderTimeout)
	l.BodyTimeout = cmp.Or(c.BodyTimeout, l.BodyTimeout)
	l.IdleTimeout = cmp.Or(c.IdleTimeout, l.IdleTimeout)
	l.WriteTimeout = cmp.Or(c.WriteTimeout, l.WriteTimeout)
	l.Connections = cmp.Or(c.Connections, l.Connections)
	l.Memory = cmp.Or(int64(c.Memory)<<20, l.Memory)
	return l
}

// check returns the key and the fault of an invalid setting, or two empty texts.
func (c Callers) check() (key, reason string) {
	for _, number := range []struct {
		key          string
		value, least int
	}{{"connections", c.Connections, 0}, {"memory", c.Memory, 0}, {"header-bytes", c.HeaderBytes, 1}} {
		if number.value < number.least {
			return number.key, fmt.Sprintf("must be at least %d, got %d", number.least, number.value)
		}
	}
	for _, timeout := range []struct {
		key   string
		value time.Duration
	}{{"header-timeout", c.HeaderTimeout}, {"body-timeout", c.BodyTimeout}, {"idle-timeout", c.IdleTimeout}, {"write-timeout", c.WriteTimeout}} {
		if timeout.value <= 0 {
			return timeout.key, fmt.Sprintf("must be greater than 0, got %v", timeout.value)
		}
	}
	return "", ""
}

package guard

import (
	"runtime/debug"
	"syscall"
	"time"
)

// Limits bound what the clients of an interface take together, and each of them.
type Limits struct {
	Connections int   // open at once
	Memory      int64 // bytes that the requests in hand may take; always enough for two of the largest
	HeaderBytes int   // of one request
	BodyBytes   int64 // of one request, as far as handlers accept it
	// HeaderTimeout bounds the time from the first byte of a request, or from the opening of a connection, to the
	// end of the request's header.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time from the start of a request to the end of its body.
	BodyTimeout time.Duration
	IdleTimeout time.Duration // between two requests on a connection
	// WriteTimeout bounds the time for which the client takes nothing of an answer.
	WriteTimeout time.Duration
	// ReceiveBuffer and SendBuffer are the sizes of the kernel's buffers of a connection in bytes. Its own
	// would grow to several megabytes for a client that sends without pause, or that reads slowly.
	ReceiveBuffer, SendBuffer int
}

// Shares of the machine's resources.
const (
	// filesReserve are the descriptors that are kept for files.
	filesReserve = 200
	// memoryParts is into how many parts the memory is divided, of which the connections take one and
	// the requests in hand take one.
	memoryParts = 8
	// connMemory is what a connection takes while it holds no request: its stack, the server's buffers,
	// and those of the kernel.
	connMemory = 64 << 10
)

// Defaults where the resources of the machine are unknown.
const (
	defaultMemory      = 512 << 20
	defaultDescriptors = 4096
)

// DefaultLimits returns the limits for requests of the usual size on a machine with unknown resources.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes: 64 << 10, BodyBytes: 256 << 10, HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second,
		IdleTimeout: 2 * time.Minute, WriteTimeout: 10 * time.Second, ReceiveBuffer: 16 << 10, SendBuffer: 16 << 10,
	}.ForMachine(0, 0, 1)
}

// ForMachine returns limits for a machine with an amount of memory in bytes and a number of descriptors. The
// interface may take the given share of the descriptors that are not kept for files. A resource that is 0 is unknown.
func (l Limits) ForMachine(memory int64, descriptors int, share float64) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	part := memory / memoryParts
	l.Memory = part
	l.Connections = max(1, min(int(part/connMemory), int(share*float64(Sockets(descriptors)))))
	return l
}

// WithRequestBytes returns limits for requests of other sizes. A size that is 0 stays.
func (l Limits) WithRequestBytes(header int, body int64) Limits {
	if header > 0 {
		l.HeaderBytes = header
	}
	if body > 0 {
		l.BodyBytes = body
	}
	return l
}

// WithTimeoutsFrom returns limits that wait for at least as long for a header and between requests.
func (l Limits) WithTimeoutsFrom(header, idle time.Duration) Limits {
	l.HeaderTimeout = max(l.HeaderTimeout, header)
	l.BodyTimeout = max(l.BodyTimeout, header, idle)
	l.IdleTimeout = max(l.IdleTimeout, idle)
	return l
}

// memory returns the bytes that the requests in hand may take.
func (l Limits) memory() int64 {
	largest := headerWeight*int64(l.HeaderBytes+readAhead) + bodyWeight*l.BodyBytes
	return max(l.Memory, 2*largest)
}

// Sockets returns how many of a process's descriptors are left for sockets; descriptors is 0 if their
// number is unknown.
func Sockets(descriptors int) int {
	if descriptors <= 0 {
		descriptors = allowedDescriptors()
	}
	return max(descriptors-filesReserve, descriptors/2)
}

// allowedDescriptors returns how many descriptors the kernel allows the process.
func allowedDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}

// heapShare is the share of the machine's memory at which the collector spends more time rather than more memory.
const heapShare = 0.7

// LimitHeap makes the collector keep the process below a machine's memory in MiB; 0: unknown.
func LimitHeap(memory int) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memory) * (1 << 20)))
	}
}

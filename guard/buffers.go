package guard

import (
	"net"
	"syscall"
)

// socketBuffer is the size of the kernel's buffers of a connection, in each direction.
const socketBuffer = 16 << 10

// limitBuffers sets the size of the kernel's buffers of all connections of a listener, also of those that it has
// not accepted yet. The kernel would enlarge them to several megabytes for a client that sends without pause.
// An error leaves them as they are.
func limitBuffers(listener net.Listener) {
	raw, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	control.Control(func(descriptor uintptr) {
		syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBuffer)
		syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBuffer)
	})
}

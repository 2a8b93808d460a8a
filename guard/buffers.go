package guard

import (
	"net"
	"syscall"
)

// setBuffers sets the sizes of the kernel's buffers of all connections of a listener, also of those that it has not
// accepted yet. An error leaves them as they are.
func setBuffers(listener net.Listener, limits Limits) {
	raw, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	control.Control(func(descriptor uintptr) {
		syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, limits.ReceiveBuffer)
		syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, limits.SendBuffer)
	})
}

package pgcontrol

import (
	"net"
	"syscall"
)

// isConnBroken reports whether an idle connection has been closed by its peer or
// holds bytes that nobody asked for. It does not block. An order sent on a
// connection that is known to be isConnBroken would count as possibly executed.
func isConnBroken(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	idle := false
	// Not raw.Read, which waits for other readers: after a slow write pgconn
	// leaves a goroutine that reads until the next answer comes.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
	})
	return err != nil || !idle
}

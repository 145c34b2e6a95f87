package pgcontrol

import (
	"net"
	"syscall"
)

// isConnBroken reports whether an idle connection has been closed by its peer or
// has unsolicited bytes to read. It does not block. Without the check, a command
// sent on a broken connection would count as possibly executed.
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
	// raw.Read would wait for other readers: after a slow write, pgconn leaves a
	// goroutine that reads until the next answer arrives.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
	})
	return err != nil || !idle
}

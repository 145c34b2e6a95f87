package upstream

import (
	"syscall"
)

// Stale reports that the peer has closed the idle connection or sent something
// unasked, such as the reason why it ends the session. A request written to such
// a connection would be lost with an unknown outcome. Stale does not block; it
// sees only what has arrived already.
func (c *Conn) Stale() bool {
	if c.closed.Load() || c.frontend.ReadBufferLen() > 0 {
		return true
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	stale := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stale = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return stale || err != nil
}

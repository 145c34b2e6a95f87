package upstream

import (
	"net"
	"syscall"
)

// peeker checks for received bytes without reading them. Its function is created
// once, so that a check costs one system call and no allocation.
type peeker struct {
	raw     syscall.RawConn
	peek    func(fd uintptr)
	arrived bool
}

// newPeeker returns nil for a connection without a file descriptor.
func newPeeker(nc net.Conn) *peeker {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	p := &peeker{raw: raw}
	buf := make([]byte, 1)
	p.peek = func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		p.arrived = err != syscall.EAGAIN && err != syscall.EINTR
	}
	return p
}

// Stale reports whether the peer has closed the idle connection or sent an
// unsolicited message, such as the reason for ending the session. A request
// written to such a connection would be lost with an unknown outcome. Stale does
// not block; it detects only what has already been received.
func (c *Conn) Stale() bool {
	if c.closed.Load() || c.frontend.ReadBufferLen() > 0 {
		return true
	}
	if c.peeker == nil {
		return false
	}
	err := c.peeker.raw.Control(c.peeker.peek)
	return err != nil || c.peeker.arrived
}

package fleet

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is a fault that a proxy applies to the connections from one source address.
type Fault int

// Faults of a source address. They apply to open and to new connections until they
// are lifted. Proxy.Silence affects only the connections open at that time.
const (
	// Pass forwards everything.
	Pass Fault = iota
	// Cut forwards nothing, CutAnswers only the direction to the target, and Delay
	// everything after a delay.
	Cut
	CutAnswers
	Delay
)

// proxyDelay is the delay that the fault Delay adds, cutPoll the interval at which a
// held connection checks whether its fault was lifted.
const (
	proxyDelay = 60 * time.Millisecond
	cutPoll    = 20 * time.Millisecond
	// dialTimeout limits connecting to the target.
	dialTimeout = time.Second
)

// Proxy forwards TCP connections to a target and injects faults by their source
// address. Its methods are safe for concurrent use.
type Proxy struct {
	target string

	mu     sync.Mutex
	faults map[string]Fault
	conns  map[*forwardedConn]bool
}

// forwardedConn is a client's connection with the connection to the target to which it
// is forwarded.
type forwardedConn struct {
	source           string
	client, upstream net.Conn
	mu               sync.Mutex
	silent           bool
	closeOnce        sync.Once
	closedSignal     chan struct{}
}

// NewProxy starts a proxy that forwards the connections of a listener to the target
// until the listener is closed.
func NewProxy(ln net.Listener, target string) *Proxy {
	p := &Proxy{target: target, faults: map[string]Fault{}, conns: map[*forwardedConn]bool{}}
	go p.serve(ln)
	return p
}

func (p *Proxy) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *Proxy) forward(client net.Conn) {
	upstream, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	host, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	x := &forwardedConn{source: host, client: client, upstream: upstream, closedSignal: make(chan struct{})}
	p.mu.Lock()
	p.conns[x] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(x, upstream, client, false) })
	copies.Go(func() { p.copy(x, client, upstream, true) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, x)
	p.mu.Unlock()
}

// copy forwards one direction until either side closes the connection.
func (p *Proxy) copy(x *forwardedConn, to io.Writer, from io.Reader, answers bool) {
	defer x.close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil || !p.waitWhileHeld(x, answers) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// waitWhileHeld blocks while a fault holds the data back. It returns false if the
// connection was closed meanwhile.
func (p *Proxy) waitWhileHeld(x *forwardedConn, answers bool) bool {
	for {
		p.mu.Lock()
		fault := p.faults[x.source]
		p.mu.Unlock()
		x.mu.Lock()
		held := x.silent || fault == Cut || fault == CutAnswers && answers
		x.mu.Unlock()
		if !held {
			if fault == Delay {
				time.Sleep(proxyDelay)
			}
			return true
		}
		select {
		case <-time.After(cutPoll):
		case <-x.closedSignal:
			return false
		}
	}
}

func (x *forwardedConn) close() {
	x.closeOnce.Do(func() {
		close(x.closedSignal)
		_ = x.client.Close()
		_ = x.upstream.Close()
	})
}

// Set sets the fault of a source, given by its IP address.
func (p *Proxy) Set(source string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[source] = f
}

// Heal lifts the faults of all sources. Silenced connections stay silent.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.faults)
}

// Silence permanently stops forwarding on the connections open now, without closing
// them.
func (p *Proxy) Silence() {
	p.each(func(x *forwardedConn) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.silent = true
	})
}

// Reset closes the open connections with a TCP reset towards the client.
func (p *Proxy) Reset() {
	p.each(func(x *forwardedConn) {
		if c, ok := x.client.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
		x.close()
	})
}

func (p *Proxy) each(do func(*forwardedConn)) {
	p.mu.Lock()
	var all []*forwardedConn
	for x := range p.conns {
		all = append(all, x)
	}
	p.mu.Unlock()
	for _, x := range all {
		do(x)
	}
}

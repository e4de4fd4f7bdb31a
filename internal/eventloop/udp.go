package eventloop

import (
	"bytes"
	"net"
)

// maxDatagram is the largest UDP payload that IPv4 carries, so that none is cut short.
const maxDatagram = 64 << 10

// UDPConn is a connected UDP socket as its handler sees it. A goroutine of its own reads it: nbio panics on
// a UDP socket whose own address the system does not tell. Its methods are for the loop's goroutine.
type UDPConn struct {
	sock   net.Conn // nil until the dial has ended well
	h      DialHandler
	closed bool
}

// DialUDP opens a connected UDP socket to addr and returns at once; what becomes of it is told to h.
func (l *Loop) DialUDP(addr string, h DialHandler) *UDPConn {
	c := &UDPConn{h: h}
	go func() {
		sock, err := net.Dial("udp", addr)
		l.Post(func() { c.opened(sock, err) })
		if err != nil {
			return
		}
		for buf := make([]byte, maxDatagram); ; {
			n, err := sock.Read(buf)
			if err != nil {
				l.Post(func() { c.ended(err) })
				return
			}
			b := bytes.Clone(buf[:n])
			l.push(item{kind: gotCall, data: b, call: func() { c.data(b) }})
		}
	}()
	return c
}

func (c *UDPConn) opened(sock net.Conn, err error) {
	if c.closed { // called off meanwhile
		if err == nil {
			sock.Close()
		}
		return
	}
	if err == nil {
		c.sock = sock
	}
	c.closed = err != nil
	c.h.OnOpen(err)
}

func (c *UDPConn) data(b []byte) {
	if !c.closed {
		c.h.OnData(b)
	}
}

// ended is the end of the reader, which ends at the first error: ICMP told of a port without a listener, or
// the socket was closed.
func (c *UDPConn) ended(err error) {
	if c.sock == nil { // called off while it was dialled
		return
	}
	c.closed = true
	c.sock.Close()
	c.h.OnClose(err)
}

// Write sends each buffer as one datagram. One that can't be sent is lost, as any may be on its way.
func (c *UDPConn) Write(bufs ...[]byte) {
	if c.closed || c.sock == nil {
		return
	}
	for _, b := range bufs {
		c.sock.Write(b)
	}
}

// Close ends the socket. Its handler's Closed is called in a later turn, if it ever was up.
func (c *UDPConn) Close() {
	c.closed = true
	if c.sock != nil {
		c.sock.Close()
	}
}

package eventloop

import (
	"bytes"
	"net"
)

// maxDatagramSize is above the largest UDP payload that IPv4 carries, so that none is truncated. In bytes.
const maxDatagramSize = 64 << 10

// UDPConn is a connected UDP socket. Its methods must be called on the loop's goroutine.
type UDPConn struct {
	socket  net.Conn // nil until the dial has succeeded
	handler DialHandler
	closed  bool
}

// DialUDP opens a connected UDP socket to addr, a "host:port", and returns at once; h.OnOpen gets the result.
// Closing the UDPConn before that calls the dial off: h hears no more of it.
//
// A goroutine of its own dials the socket and reads it, since nbio 1.6.8 panics on a UDP socket whose local address
// the system does not tell. It ends with the first error of the socket, and so at the latest once Close has
// closed it. No one closes the sockets that are open when Run returns: they end with the process.
func (l *Loop) DialUDP(addr string, h DialHandler) *UDPConn {
	c := &UDPConn{handler: h}
	go func() {
		socket, err := net.Dial("udp", addr)
		l.Post(func() { c.handleOpen(socket, err) })
		if err == nil {
			l.readDatagrams(c, socket)
		}
	}()
	return c
}

// readDatagrams queues what socket receives until its first error. It runs on the socket's goroutine.
func (l *Loop) readDatagrams(c *UDPConn, socket net.Conn) {
	buf := make([]byte, maxDatagramSize)
	for {
		n, err := socket.Read(buf)
		if err != nil {
			l.Post(func() { c.handleClose(err) })
			return
		}
		datagram := bytes.Clone(buf[:n])
		l.events.push(event{kind: eventCall, data: datagram, call: func() { c.handleData(datagram) }})
	}
}

func (c *UDPConn) handleOpen(socket net.Conn, err error) {
	if c.closed { // called off in the meantime
		if err == nil {
			_ = socket.Close() // no one has used it
		}
		return
	}
	if err == nil {
		c.socket = socket
	}
	c.closed = err != nil
	c.handler.OnOpen(err)
}

func (c *UDPConn) handleData(datagram []byte) {
	if !c.closed {
		c.handler.OnData(datagram)
	}
}

// handleClose handles the end of the reader. err is an ICMP error, of a port without a listener for one, or
// net.ErrClosed after Close.
func (c *UDPConn) handleClose(err error) {
	if c.socket == nil { // called off while dialing
		return
	}
	c.closed = true
	_ = c.socket.Close() // it has failed or is closed already
	c.handler.OnClose(err)
}

// Write sends each buffer as one datagram. An error is not reported: a datagram that can't be sent is lost, as any may
// be on its way.
func (c *UDPConn) Write(bufs ...[]byte) {
	if c.closed || c.socket == nil {
		return
	}
	for _, b := range bufs {
		_, _ = c.socket.Write(b) // lost
	}
}

// Close closes the socket. The handler's OnClose is called in a later turn, if the socket was ever open.
func (c *UDPConn) Close() {
	c.closed = true
	if c.socket != nil {
		_ = c.socket.Close() // it may be closed already
	}
}

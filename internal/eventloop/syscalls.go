package eventloop

import (
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// systemCalls are the calls on sockets and on the poller that can fail, or read or write less than requested. Tests
// replace them to inject the failures that Linux documents; kernelCalls makes the actual calls. No call blocks except
// wait, and all errors are errnos (unix.Errno).
type systemCalls interface {
	// socket opens a non-blocking socket that is closed on exec.
	socket(domain, socketType int) (fd int, err error)
	// connect begins to connect a socket. After EINPROGRESS or EINTR the connect continues, and the poller reports
	// EPOLLOUT when it has succeeded or failed.
	connect(fd int, addr unix.Sockaddr) error
	// connectResult returns the result of a connect that was in progress, and later the error that broke the
	// connection. It clears the socket's pending error (SO_ERROR), so that the next call returns nil.
	connectResult(fd int) error
	// accept takes a connection from the backlog, as a non-blocking socket. EAGAIN means that none waits.
	accept(listener int) (fd int, peer unix.Sockaddr, err error)
	// connectionAge returns how long ago a connection that accept has returned was established, if nothing has been
	// written to it. The kernel rounds it to its ticks of 1 to 10 ms.
	connectionAge(fd int) (time.Duration, error)
	// read reads up to len(b) bytes, or one datagram. An n of 0 without an error is the end of a stream's input. EAGAIN
	// means that nothing has arrived.
	read(fd int, b []byte) (n int, err error)
	// peek reads like read, but leaves the bytes in the socket.
	peek(fd int, b []byte) (n int, err error)
	// write writes bufs in one gathered call, as far as the send buffer has space. EAGAIN means that it has none.
	write(fd int, bufs [][]byte) (n int, err error)
	// sendQueue returns how many bytes of a connection are in its send queue, because the peer's machine has not
	// acknowledged them.
	sendQueue(fd int) (int, error)
	// wait waits for events for at most timeoutMs milliseconds. EINTR means that a signal ended the wait.
	wait(poller int, events []unix.EpollEvent, timeoutMs int) (n int, err error)
}

// kernelCalls implements systemCalls with the system calls of Linux.
type kernelCalls struct{}

func (kernelCalls) socket(domain, socketType int) (int, error) {
	return unix.Socket(domain, socketType|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

func (kernelCalls) connect(fd int, addr unix.Sockaddr) error { return unix.Connect(fd, addr) }

// connectResult implements systemCalls.
func (kernelCalls) connectResult(fd int) error {
	errno, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if errno != 0 {
		return unix.Errno(errno)
	}
	return nil
}

func (kernelCalls) accept(listener int) (int, unix.Sockaddr, error) {
	return unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

// connectionAge implements systemCalls. The kernel sets the time of the last data sent when the connection is
// established.
func (kernelCalls) connectionAge(fd int) (time.Duration, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_data_sent) * time.Millisecond, nil
}

func (kernelCalls) read(fd int, b []byte) (int, error) { return unix.Read(fd, b) }

func (kernelCalls) peek(fd int, b []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

func (kernelCalls) write(fd int, bufs [][]byte) (int, error) {
	if len(bufs) == 1 {
		return unix.Write(fd, bufs[0])
	}
	return unix.Writev(fd, bufs)
}

func (kernelCalls) sendQueue(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.TIOCOUTQ) }

func (kernelCalls) wait(poller int, events []unix.EpollEvent, timeoutMs int) (int, error) {
	return unix.EpollWait(poller, events, timeoutMs)
}

// isTransient reports whether a call on a socket failed only temporarily: there is nothing to read or no space to write
// (EAGAIN), a signal interrupted the call (EINTR), or the kernel lacks memory. The socket is unchanged, and the call
// may be repeated.
func isTransient(err error) bool {
	return isOneOf(err, unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM)
}

// isOneOf reports whether err is or wraps one of errnos.
func isOneOf(err error, errnos ...unix.Errno) bool {
	var errno unix.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// disableNagle makes the kernel send small writes at once (TCP_NODELAY) instead of waiting for more data or for the
// peer's acknowledgment. An error is ignored: the socket works without the option, with some delay.
func disableNagle(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }

// limitSendBuffer limits how many bytes the kernel takes before the peer takes them. An error is ignored: the kernel then
// takes more.
func limitSendBuffer(fd int) {
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferSize)
}

// resetOnClose makes closeDescriptor reset the connection, which drops its send queue (SO_LINGER with a time of 0). An
// error is ignored: the kernel then goes on sending the queue.
func resetOnClose(fd int) {
	_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
}

// closeDescriptor closes fd. Linux closes it even if close(2) returns an error. It must not be closed again, because
// another socket may have got its number in the meantime.
func closeDescriptor(fd int) { _ = unix.Close(fd) }

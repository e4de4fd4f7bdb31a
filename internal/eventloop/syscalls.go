package eventloop

import (
	"errors"
	"slices"

	"golang.org/x/sys/unix"
)

// systemCalls are the calls on sockets and on the poller that can fail or fall short. Tests replace them to inject the
// failures that Linux documents; kernelCalls makes the plain calls.
type systemCalls interface {
	socket(domain, socketType int) (fd int, err error)
	connect(fd int, addr unix.Sockaddr) error
	connectResult(fd int) error
	accept(listener int) (fd int, peer unix.Sockaddr, err error)
	read(fd int, b []byte) (n int, err error)
	peek(fd int, b []byte) (n int, err error)
	write(fd int, bufs [][]byte) (n int, err error)
	wait(poller int, events []unix.EpollEvent, timeoutMs int) (n int, err error)
}

// kernelCalls makes the calls. All sockets are non-blocking and closed on exec.
type kernelCalls struct{}

func (kernelCalls) socket(domain, socketType int) (int, error) {
	return unix.Socket(domain, socketType|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

func (kernelCalls) connect(fd int, addr unix.Sockaddr) error { return unix.Connect(fd, addr) }

// connectResult returns how a connect that was in progress ended.
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

func (kernelCalls) wait(poller int, events []unix.EpollEvent, timeoutMs int) (int, error) {
	return unix.EpollWait(poller, events, timeoutMs)
}

// isTransient reports whether a call on a socket failed for a moment only: the socket is as it was, and the call may be
// made again.
func isTransient(err error) bool {
	return isOneOf(err, unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM)
}

// isOneOf reports whether err is one of the kernel's errors.
func isOneOf(err error, errnos ...unix.Errno) bool {
	var errno unix.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// closeDescriptor closes fd. On Linux it is closed whatever the error, and must not be closed again.
func closeDescriptor(fd int) { _ = unix.Close(fd) }

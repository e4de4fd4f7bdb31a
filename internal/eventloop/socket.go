package eventloop

// noDescriptor is the fd of a socket that is not open.
const noDescriptor = -1

// socket is a non-blocking descriptor and its registration with the poller.
type socket struct {
	fd       int    // noDescriptor while it is not open
	token    token  // 0 before the registration; that is wakeToken, which no socket has
	interest uint32 // the events that the poller reports, a mask of unix.EPOLL*
}

// register makes the poller report events, a mask of unix.EPOLL*, to receiver. EPOLLERR and EPOLLHUP are always
// reported.
func (s *socket) register(p *poller, events uint32, receiver eventReceiver) error {
	t, err := p.add(s.fd, events, receiver)
	if err != nil {
		return err
	}
	s.token = t
	s.interest = events
	return nil
}

// isRegistered reports whether the socket has been registered.
func (s *socket) isRegistered() bool { return s.token != wakeToken }

// setInterest changes the events that the poller reports.
func (s *socket) setInterest(p *poller, events uint32) error {
	if err := p.modify(s.fd, s.token, events); err != nil {
		return err
	}
	s.interest = events
	return nil
}

// close ends the registration and closes the descriptor, if it is open.
func (s *socket) close(p *poller) {
	if s.fd == noDescriptor {
		return
	}
	p.remove(s.token)
	closeDescriptor(s.fd)
	s.fd = noDescriptor
}

package eventloop

import (
	"os"

	"golang.org/x/sys/unix"
)

// eventSource receives the epoll events of one descriptor.
type eventSource interface {
	handleEvents(l *Loop, events uint32)
}

// registration is the event source of a descriptor. epoll returns its generation with each event, which distinguishes
// the connections that use one descriptor in succession: an event of a connection closed earlier in the iteration must
// not reach the next connection on the same descriptor.
type registration struct {
	source     eventSource
	generation int32
}

// register adds a descriptor to the epoll instance.
func (l *Loop) register(fd int, events uint32, source eventSource) error {
	l.lastGeneration++
	l.registrations[int32(fd)] = registration{source, l.lastGeneration}
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.lastGeneration}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		delete(l.registrations, int32(fd))
		return os.NewSyscallError("epoll_ctl", err)
	}
	return nil
}

// setInterest changes the events that epoll reports for a registered descriptor.
func (l *Loop) setInterest(fd int, events uint32) {
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrations[int32(fd)].generation}
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, &event) // cannot fail for a registered descriptor
}

// unregister removes a descriptor from the epoll instance.
func (l *Loop) unregister(fd int) {
	delete(l.registrations, int32(fd))
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_DEL, fd, nil) // closing the descriptor removes it as well
}

// dispatch passes an event to its source, unless the descriptor has been closed or reused since epoll reported it.
func (l *Loop) dispatch(event unix.EpollEvent) {
	if r, ok := l.registrations[event.Fd]; ok && r.generation == event.Pad {
		r.source.handleEvents(l, event.Events)
	}
}

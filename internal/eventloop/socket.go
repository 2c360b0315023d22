package eventloop

import (
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// newSocket returns a non-blocking TCP socket for the address family of address.
func newSocket(address netip.AddrPort) (int, error) {
	family := unix.AF_INET
	if address.Addr().Is6() && !address.Addr().Is4In6() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	return fd, nil
}

// openSpareFD opens the descriptor for Loop.spareFD.
func openSpareFD() (int, error) {
	return unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
}

// sockaddr converts an address to the form that system calls accept.
func sockaddr(address netip.AddrPort) unix.Sockaddr {
	if a := address.Addr().Unmap(); a.Is4() {
		return &unix.SockaddrInet4{Port: int(address.Port()), Addr: a.As4()}
	}
	return &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}

// addrPort converts an address that a system call returned. For a family other than IPv4 and IPv6 it returns the zero
// AddrPort.
func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

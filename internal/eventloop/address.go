package eventloop

import (
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// socketAddress returns the socket domain of addr, and addr in the form that system calls take.
func socketAddress(addr netip.AddrPort) (domain int, sockaddr unix.Sockaddr) {
	ip := addr.Addr().Unmap()
	if ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Addr: ip.As4(), Port: int(addr.Port())}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Addr: ip.As16(), Port: int(addr.Port()), ZoneId: zoneIndex(ip.Zone())}
}

// zoneIndex returns the interface index of an IPv6 zone, or 0 if zone is empty or there is no such interface.
func zoneIndex(zone string) uint32 {
	if zone == "" {
		return 0
	}
	link, err := net.InterfaceByName(zone)
	if err != nil {
		return 0
	}
	return uint32(link.Index)
}

// addrPortOf converts an address from the form that system calls return. It returns the zero AddrPort for an address
// that is not IP.
func addrPortOf(sockaddr unix.Sockaddr) netip.AddrPort {
	switch s := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(s.Addr), uint16(s.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(s.Addr).Unmap(), uint16(s.Port))
	}
	return netip.AddrPort{}
}

// resolveTCP resolves addr, a "host:port". It may block if the host is a name.
func resolveTCP(addr string) (netip.AddrPort, error) {
	resolved, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("resolve %s: %w", addr, err)
	}
	return resolved.AddrPort(), nil
}

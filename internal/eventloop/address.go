package eventloop

import (
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// socketAddress converts addr to its socket domain and the kernel's form.
func socketAddress(addr netip.AddrPort) (domain int, sockaddr unix.Sockaddr) {
	ip := addr.Addr().Unmap()
	if ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Addr: ip.As4(), Port: int(addr.Port())}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Addr: ip.As16(), Port: int(addr.Port()), ZoneId: zoneIndex(ip.Zone())}
}

// zoneIndex returns the number of an IPv6 zone's interface, 0 if there is none.
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

// addrPortOf converts the kernel's form of an address; the zero AddrPort stands for any that is not IP.
func addrPortOf(sockaddr unix.Sockaddr) netip.AddrPort {
	switch s := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(s.Addr), uint16(s.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(s.Addr).Unmap(), uint16(s.Port))
	}
	return netip.AddrPort{}
}

// resolveTCP resolves a "host:port", which may block where the host is a name.
func resolveTCP(addr string) (netip.AddrPort, error) {
	resolved, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("resolve %s: %w", addr, err)
	}
	return resolved.AddrPort(), nil
}

package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Member is a runner in the directory's list.
type Member struct {
	ID       string
	Addr     string // host:port
	Draining bool
	Started  int64 // Unix milliseconds, 0: long ago
	Cell     int
}

// Directory is the directory: it answers each query over UDP with the whole list.
type Directory struct {
	conn *net.UDPConn

	mu      sync.Mutex
	serial  uint32
	members []Member
}

// StartDirectory starts a directory whose list has the given members and the serial 1.
func StartDirectory(members []Member) *Directory {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(err)
	d := &Directory{conn: conn, serial: 1, members: members}
	go d.serve()
	return d
}

// Addr is the directory's address.
func (d *Directory) Addr() string { return d.conn.LocalAddr().String() }

// Set replaces the list, which is the next event.
func (d *Directory) Set(members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serial++
	d.members = members
}

func (d *Directory) serve() {
	buf := make([]byte, 1024)
	for {
		n, peer, err := d.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if n > 12 {
			_, _ = d.conn.WriteToUDP(d.answer(append([]byte{}, buf[:n]...)), peer)
		}
	}
}

func dnsName(name string) (b []byte) {
	for _, label := range strings.Split(name, ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0)
}

func (d *Directory) answer(m []byte) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	m[2] |= 0x80
	add := func(section int, name string, kind uint16, data []byte) {
		binary.BigEndian.PutUint16(m[section:], binary.BigEndian.Uint16(m[section:])+1)
		m = append(m, dnsName(name)...)
		m = binary.BigEndian.AppendUint16(m, kind)
		m = binary.BigEndian.AppendUint16(m, 1)
		m = binary.BigEndian.AppendUint32(m, 1)
		m = binary.BigEndian.AppendUint16(m, uint16(len(data)))
		m = append(m, data...)
	}
	for _, w := range d.members {
		addr, err := net.ResolveTCPAddr("tcp", w.Addr)
		must(err)
		priority := uint16(0)
		if w.Draining {
			priority = 1
		}
		data := binary.BigEndian.AppendUint16(nil, priority)
		data = binary.BigEndian.AppendUint16(data, 10)
		data = binary.BigEndian.AppendUint16(data, uint16(addr.Port))
		add(6, "_back._tcp.pool.lan", 33, append(data, dnsName(w.ID+".aarhus-1.hosts")...))
	}
	soa := append(dnsName("pool.lan"), dnsName("pool.lan")...)
	add(8, "pool.lan", 6, append(binary.BigEndian.AppendUint32(soa, d.serial), make([]byte, 16)...))
	for _, w := range d.members {
		addr, _ := net.ResolveTCPAddr("tcp", w.Addr)
		host := w.ID + ".aarhus-1.hosts"
		add(10, host, 1, addr.IP.To4())
		var text []byte
		for _, s := range []string{"kind=std-3core", fmt.Sprintf("cell=%d", w.Cell), fmt.Sprintf("started=%d", w.Started)} {
			text = append(append(text, byte(len(s))), s...)
		}
		add(10, host, 16, text)
	}
	return m
}

// Known is the configuration's list of the start, as JSON.
func Known(members []Member) string {
	var list []string
	for _, w := range members {
		phase := "Ready"
		if w.Draining {
			phase = "Terminating"
		}
		list = append(list, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"aarhus-1","flavor":"std-3core","cell":%d,"phase":%q,"size":1,"up_since_ms":%d}`,
			w.ID, w.Addr, w.Cell, phase, w.Started))
	}
	return fmt.Sprintf(`{"offset":1,"batch":[{"offset":1,"topology":{"revision":1,"complete":true,"members":[%s]}}]}`,
		strings.Join(list, ","))
}

var begun = time.Now()

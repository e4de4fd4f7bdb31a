package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
)

// member is a runner in the directory's list.
type member struct {
	name     string
	address  string
	draining bool
	started  int64 // Unix ms; 0: long ago
}

// directory is a stand-in for the directory.
type directory struct {
	address string
	socket  net.PacketConn
	record  *recorder

	mu      sync.Mutex
	serial  uint32
	members []member
	silent  bool
	told    func(serial uint32) // called when an answer has been sent
}

func startDirectory(record *recorder, serial uint32, members []member) (*directory, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &directory{address: socket.LocalAddr().String(), socket: socket, record: record, serial: serial, members: members}
	go d.serve()
	return d, nil
}

// change sets the list, as the next event.
func (d *directory) change(members []member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serial++
	d.members = members
	d.record.logf("directory serial=%d members=%v", d.serial, members)
}

// silence makes the directory answer nothing, or answer again.
func (d *directory) silence(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

func (d *directory) serve() {
	buf := make([]byte, 512)
	for {
		n, peer, err := d.socket.ReadFrom(buf)
		if err != nil {
			return
		}
		d.mu.Lock()
		silent, serial := d.silent, d.serial
		response := dnsResponse(buf[:n], serial, d.members)
		told := d.told
		d.mu.Unlock()
		if silent {
			continue
		}
		_, _ = d.socket.WriteTo(response, peer)
		if told != nil {
			told(serial)
		}
	}
}

func dnsResponse(query []byte, serial uint32, members []member) []byte {
	m := append([]byte(nil), query...)
	m[2] |= 0x80
	add := func(section int, name string, recordType uint16, data []byte) {
		binary.BigEndian.PutUint16(m[section:], binary.BigEndian.Uint16(m[section:])+1)
		m = append(m, dnsName(name)...)
		m = binary.BigEndian.AppendUint16(m, recordType)
		m = binary.BigEndian.AppendUint16(m, 1)
		m = binary.BigEndian.AppendUint32(m, 1)
		m = binary.BigEndian.AppendUint16(m, uint16(len(data)))
		m = append(m, data...)
	}
	host := func(w member) string { return w.name + ".aarhus-1.hosts" }
	for _, w := range members {
		_, portText, _ := net.SplitHostPort(w.address)
		port, _ := strconv.Atoi(portText)
		priority := byte(0)
		if w.draining {
			priority = 1
		}
		data := binary.BigEndian.AppendUint16([]byte{0, priority, 0, 40}, uint16(port))
		add(6, "_back._tcp.pool.lan", 33, append(data, dnsName(host(w))...))
	}
	soa := append(dnsName("pool.lan"), dnsName("pool.lan")...)
	soa = binary.BigEndian.AppendUint32(soa, serial)
	add(8, "pool.lan", 6, append(soa, make([]byte, 16)...))
	for _, w := range members {
		ip, _, _ := net.SplitHostPort(w.address)
		add(10, host(w), 1, net.ParseIP(ip).To4())
		var text []byte
		for _, s := range []string{"kind=std-3core", "cell=0", fmt.Sprintf("started=%d", w.started)} {
			text = append(append(text, byte(len(s))), s...)
		}
		add(10, host(w), 16, text)
	}
	return m
}

func dnsName(name string) []byte {
	var b []byte
	for label := range strings.SplitSeq(name, ".") {
		b = append(b, byte(len(label)))
		b = append(b, label...)
	}
	return append(b, 0)
}

package main

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
)

// The parts of Thrift's strict binary protocol and framed transport that a call needs.
const (
	thriftFrameHeader = 4 // bytes
	thriftVersionCall = 0x80010001
	thriftTypeString  = 11
	thriftTypeMap     = 13
	thriftStop        = 0
)

// maxPrintedAnswer is the most bytes of an answer that are read.
const maxPrintedAnswer = 1 << 16

// call sends one call to the router and prints the bytes of the answer.
func call() error {
	conn, err := net.Dial("tcp", routerAddr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the answer has come, or another error is returned
	if _, err := conn.Write(executeFrame("lamp 17 to 40%")); err != nil {
		return err
	}
	answer, err := readFrame(conn)
	if err != nil {
		return err
	}
	fmt.Print(hex.Dump(answer))
	return nil
}

// executeFrame is a call of execute(1: map<string, string> headers, 2: binary body), with its frame header.
func executeFrame(body string) []byte {
	headers := []string{
		"class", "dim-level",
		"id", fmt.Sprintf("%016x", rand.Uint64()),
		"wait", "1500",
		"key", functionKey,
		"props", "memory_mb:512;lanes:2;load_ms:640",
	}
	b := make([]byte, thriftFrameHeader)
	b = binary.BigEndian.AppendUint32(b, thriftVersionCall)
	b = appendThriftString(b, "execute")
	b = binary.BigEndian.AppendUint32(b, 1) // the sequence number
	b = append(b, thriftTypeMap, 0, 1, thriftTypeString, thriftTypeString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(headers)/2))
	for _, word := range headers {
		b = appendThriftString(b, word)
	}
	b = append(b, thriftTypeString, 0, 2)
	b = appendThriftString(b, body)
	b = append(b, thriftStop)
	binary.BigEndian.PutUint32(b, uint32(len(b)-thriftFrameHeader))
	return b
}

func appendThriftString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

// readFrame reads one frame without its header.
func readFrame(r io.Reader) ([]byte, error) {
	var header [thriftFrameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	frame := make([]byte, min(binary.BigEndian.Uint32(header[:]), maxPrintedAnswer))
	if _, err := io.ReadFull(r, frame); err != nil {
		return nil, err
	}
	return frame, nil
}

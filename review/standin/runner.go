package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
)

// Command is a command that a runner has read.
type Command struct {
	Word, ID, Fields, Body string
}

// Field returns a field of a RUN, "" if it is missing.
func (c Command) Field(name string) string {
	for _, pair := range strings.Split(c.Fields, ",") {
		if k, v, _ := strings.Cut(pair, "="); k == name {
			return v
		}
	}
	return ""
}

// Link is a connection from the router to a runner.
type Link struct {
	net.Conn
	mu sync.Mutex
}

// Send writes raw bytes.
func (l *Link) Send(raw string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = io.WriteString(l.Conn, raw)
}

// Answer writes a whole answer: ID WORD FIELDS BODY.
func (l *Link) Answer(id, word, fields, body string) { l.Send(array(id, word, fields, body)) }

// array encodes words as a RESP array of bulk strings.
func array(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// Runner is a runner: it calls run for each RUN and stop for each STOP, and answers NOOP itself.
type Runner struct {
	ID   string
	ln   net.Listener
	run  func(l *Link, c Command)
	stop func(l *Link, id string)
}

// StartRunner starts a runner on a free port, or on addr if it is not empty.
func StartRunner(id, addr string, run func(l *Link, c Command), stop func(l *Link, id string)) *Runner {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	must(err)
	r := &Runner{ID: id, ln: ln, run: run, stop: stop}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(&Link{Conn: conn})
		}
	}()
	return r
}

// Addr is the runner's address.
func (r *Runner) Addr() string { return r.ln.Addr().String() }

func (r *Runner) serve(l *Link) {
	defer func() { _ = l.Close() }()
	in := bufio.NewReaderSize(l.Conn, 64<<10)
	for {
		words, err := readArray(in)
		if err != nil {
			return
		}
		switch {
		case len(words) == 4 && words[0] == "RUN":
			r.run(l, Command{words[0], words[1], words[2], words[3]})
		case len(words) == 2 && words[0] == "STOP":
			if r.stop != nil {
				r.stop(l, words[1])
			}
		case len(words) == 2 && words[0] == "NOOP":
			l.Answer(words[1], "PONG", "-", "")
		default:
			return // a runner closes on what it can't read
		}
	}
}

func readArray(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	var words []string
	for range count {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	return words, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != kind {
		return 0, fmt.Errorf("line %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

package main

import (
	"bufio"
	"io"
	"log"
	"net"
)

// serveWorker accepts connections until the listener fails.
func serveWorker(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer func() { _ = conn.Close() }() // an error does not matter: the connection is done with
			if err := serveRequests(conn, listener.Addr().String()); err != nil {
				log.Printf("%s: %v", listener.Addr(), err)
			}
		}()
	}
}

// serveRequests answers the requests on one connection until it ends, or something comes that is no request. It returns
// an error only if an answer can't be written.
func serveRequests(conn io.ReadWriter, worker string) error {
	in := bufio.NewReader(conn)
	for {
		request, err := readArray(in)
		if err != nil || len(request) < 2 {
			return nil // the router closed the connection, or does not speak the protocol
		}
		log.Printf("%s: %.100q", worker, request)
		if err := answerRequest(conn, worker, request); err != nil {
			return err
		}
	}
}

// answerRequest answers a request, which begins with its command and its ID: RUN is an attempt, HOLD a load command,
// INFO a health check and NOOP a connection's keep-alive check. Other commands get no answer. Every function counts as
// loaded. The words of an answer are the ID, the outcome, the fields and the body.
func answerRequest(w io.Writer, worker string, request []string) error {
	command := request[0]
	id := request[1]
	switch command {
	case "RUN":
		input := request[len(request)-1]
		return writeArray(w, id, "HIT", "detail=hot,use=inflight:1", "worker "+worker+" ran it on: "+input)
	case "HOLD":
		return writeArray(w, id, "HIT", "count=1", "")
	case "NOOP", "INFO":
		return writeArray(w, id, "PONG", "use=inflight:0", "")
	}
	return nil
}

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
			defer func() { _ = conn.Close() }() // an error has no effect: the connection is not used afterwards
			if err := serveRequests(conn, listener.Addr().String()); err != nil {
				log.Printf("%s: %v", listener.Addr(), err)
			}
		}()
	}
}

// serveRequests answers the requests on one connection until the connection ends or sends something other than a
// request. It returns an error only if it can't write an answer.
func serveRequests(conn io.ReadWriter, worker string) error {
	r := bufio.NewReader(conn)
	for {
		request, err := readArray(r)
		if err != nil || len(request) < 2 {
			return nil // the router closed the connection or sent a malformed request
		}
		log.Printf("%s: %.100q", worker, request)
		if err := answerRequest(conn, worker, request); err != nil {
			return err
		}
	}
}

// answerRequest answers a request, which begins with its command and its ID. RUN is an attempt, HOLD is a load command,
// INFO is a health check and NOOP is a keep-alive check of a connection. Other commands get no answer. The worker
// reports every function as loaded. An answer consists of the ID, the outcome, the fields and the body.
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

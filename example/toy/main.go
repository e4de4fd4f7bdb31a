// Command toy stands in for what a function router talks to, so that a newcomer can try one on a
// single machine: a directory, two workers that answer at once, and a client.
//
//	toy try       serve as the directory and the workers, send one call, print the answer and end
//	toy           serve as the directory and the workers
//	toy call      send one call by Thrift and print the answer
//	toy hook ID   send one repair-order as a signed webhook with that webhook-id
//
// It is run in the repository's root, beside a router with EDGE_CONFIG=example/config.json; either may be started first.
// "toy hook" also needs FUNCTIONROUTER_WEBHOOK=example/webhook.toml at the router. It is no model of the protocols: it
// checks little of what it reads, and sends only what the router needs to work.
package main

import (
	"errors"
	"log"
	"net"
	"os"
	"strings"
)

// The addresses of example/config.json and example/webhook.toml.
const (
	directoryAddr = "127.0.0.1:1053"
	routerAddr    = "127.0.0.1:10080"
	webhookURL    = "http://127.0.0.1:10090/hooks"
)

// workerAddrs are the workers of example/config.json.
var workerAddrs = []string{"127.0.0.1:10181", "127.0.0.1:10182"}

// functionKey identifies the function that is called: any 16 hexadecimal digits in lower case.
const functionKey = "7f3a9c21e0b4d655"

var errUsage = errors.New("usage: toy [try | call | hook ID]")

func main() {
	log.SetFlags(0)
	if err := run(os.Args[1:]); err != nil {
		log.Fatal("toy: ", err)
	}
}

// run does what the arguments ask for. It returns errUsage if they ask for nothing that it knows.
func run(args []string) error {
	switch {
	case len(args) == 0:
		return serve()
	case args[0] == "try":
		return try()
	case args[0] == "call":
		return call()
	case args[0] == "hook" && len(args) == 2:
		return sendWebhook(args[1])
	default:
		return errUsage
	}
}

// serve runs the directory and the workers until one of them fails.
func serve() error {
	failed, err := startServers()
	if err != nil {
		return err
	}
	return <-failed
}

// try runs the directory and the workers during one call. It returns the error of whichever fails first.
func try() error {
	failed, err := startServers()
	if err != nil {
		return err
	}
	called := make(chan error, 1)
	go func() { called <- call() }()
	select {
	case err := <-called:
		return err
	case err := <-failed:
		return err
	}
}

// startServers starts the directory and the workers. failed receives the error of each that fails; the others end with the
// process. If one can't listen, an error is returned, and those that were started go on.
func startServers() (failed <-chan error, err error) {
	serverErrors := make(chan error, len(workerAddrs)+1)
	for _, addr := range workerAddrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		go func() { serverErrors <- serveWorker(listener) }()
	}
	socket, err := net.ListenPacket("udp", directoryAddr)
	if err != nil {
		return nil, err
	}
	go func() { serverErrors <- serveDirectory(socket) }()
	log.Printf("directory on %s, workers on %s", directoryAddr, strings.Join(workerAddrs, " and "))
	return serverErrors, nil
}

// Command toy provides the peers of a function router, so that a new user can try the router on a single machine: a
// directory, two workers that answer immediately, and a client.
//
//	toy try       serve as the directory and the workers, send one call, print the answer and exit
//	toy           serve as the directory and the workers
//	toy call      send one call by Thrift and print the answer
//	toy hook ID   send one request of the class "repair-order" as a signed webhook with that webhook-id
//
// Run it in the root of the repository, next to a router with EDGE_CONFIG=example/config.json; either may be started
// first. For "toy hook", the router also needs FUNCTIONROUTER_WEBHOOK=example/webhook.toml. The command is not a
// reference implementation of the protocols: it checks little of what it reads and sends only what the router requires.
package main

import (
	"errors"
	"log"
	"net"
	"os"
	"strings"
)

// Addresses in example/config.json and example/webhook.toml.
const (
	directoryAddr = "127.0.0.1:1053"
	routerAddr    = "127.0.0.1:10080"
	webhookURL    = "http://127.0.0.1:10090/hooks"
)

// workerAddrs are the addresses of the workers in example/config.json.
var workerAddrs = []string{"127.0.0.1:10181", "127.0.0.1:10182"}

// functionKey identifies the function that is called. Any 16 lower-case hexadecimal digits are valid.
const functionKey = "7f3a9c21e0b4d655"

// errUsage is returned for an unknown command and for a hook command without exactly one ID.
var errUsage = errors.New("usage: toy [try | call | hook ID]")

func main() {
	log.SetFlags(0)
	if err := run(os.Args[1:]); err != nil {
		log.Fatal("toy: ", err)
	}
}

// run executes the command that args name. It returns errUsage if the command is unknown or if hook does not have
// exactly one argument. Arguments of try and call are ignored.
func run(args []string) error {
	switch {
	case len(args) == 0:
		return serve()
	case args[0] == "try":
		return serveAndCall()
	case args[0] == "call":
		return sendCall()
	case args[0] == "hook" && len(args) == 2:
		return sendWebhook(args[1])
	default:
		return errUsage
	}
}

// serve runs the directory and the workers until one of them fails.
func serve() error {
	serverErrors, err := startServers()
	if err != nil {
		return err
	}
	return <-serverErrors
}

// serveAndCall runs the directory and the workers and sends one call. It returns when the call ends or a server fails,
// with the error of whichever comes first.
func serveAndCall() error {
	serverErrors, err := startServers()
	if err != nil {
		return err
	}
	callResult := make(chan error, 1)
	go func() { callResult <- sendCall() }()
	select {
	case err := <-callResult:
		return err
	case err := <-serverErrors:
		return err
	}
}

// startServers starts the directory and the workers. errs receives the error of each server that fails; the other
// servers run until the process exits. If a server can't listen, startServers returns an error, and the servers that
// were already started keep running.
func startServers() (errs <-chan error, err error) {
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

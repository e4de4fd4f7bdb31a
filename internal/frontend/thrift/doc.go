// Package thrift implements the frontend for Apache Thrift: clients call functions over the framed transport with the
// strict binary protocol.
//
// The service that clients call, in Thrift's interface definition language (IDL):
//
//	struct Answer { 1: binary body, 2: map<string,string> fields, 3: bool good }
//	exception Backoff { 1: map<string,string> fields }
//	exception Lost { 1: map<string,string> fields }
//	service Front {
//	  Answer execute(1: map<string,string> fields, 2: binary body) throws (1: Backoff refused, 2: Lost failed)
//	  oneway void interrupt(1: i32 seqid)
//	  Answer check(1: bool unused)
//	}
//
// A client calls check to ask whether it should send requests to this router (Config.Ready); the router ignores the
// argument. In the reply to check, good is true if the client should send requests, and body is empty. In an Answer to
// execute, good is always true. In every Answer, the map is empty.
//
// # Terms
//
// A call is the invocation of a method on the wire. Its connection and its sequence ID identify it. A request is the
// work that an execute call asks for. The router identifies a request by its policy.RequestID. An execute call is open
// until the server replies to it or it is cancelled. The router's final answer to a request (router.Response) becomes
// the only reply to the call.
//
// A message is a call or one of the other message types (message.go). Each frame holds one message. The fields of a
// request are the names and values in the map of an execute call (request.go). The fields of a Thrift struct are
// identified by their field IDs.
//
// # Processing of a call
//
//   - connection.OnData receives bytes and splits them into frames (connection.go).
//   - connection.handleMessage decodes the message's header and selects the method (message.go).
//   - connection.handleExecute decodes the arguments and checks the body and the sequence ID (call.go, decoder.go).
//   - Server.parseRequest turns the fields into a router.Request (request.go).
//   - connection.submit copies the body, registers the call as open and passes the request to RequestRouter.Submit
//     (call.go).
//   - The router calls call.Respond with the final answer, either before Submit returns or later. Served becomes an
//     Answer, Refused becomes a Backoff, and Failed becomes a Lost (call.go).
//   - encodeAnswer, encodeBackoff or encodeLost builds the frame, and the Transport sends it (reply.go, encoder.go).
//
// An interrupt cancels the request of an open call, and the close of the connection cancels the requests of all its
// open calls. A cancelled call gets no reply. If the client half-closes the connection or violates the protocol, the
// router answers the requests of all open calls as refused or failed, so every open call gets a reply. It counts these
// requests as cancelled (router.RequestCancelled); see router.Router.Disconnect.
//
// # Errors
//
// A request with an invalid field is not passed to the router, so the router neither counts nor logs it. The reply is a
// Lost whose map contains the name of the field. If the router answers a request as failed, the reply is a Lost with an
// empty map. The reply to a call of an unknown method is a TApplicationException. The server closes the connection of a
// client that violates the protocol; the error that describes the violation wraps errProtocol (errors.go).
//
// # Units, ownership, concurrency
//
// Times on the wire are in milliseconds: how long the client waits, how long the function takes to load, and Backoff's
// "after", which is rounded up. In the code they are time.Durations. Points in time are readings of the event loop's
// clock, which are time.Durations too. A request's deadline is earlier than the end of the client's wait, so that the
// reply arrives in time; see router.AnswerBudget.
//
// The bytes that OnData receives belong to the event loop. The connection keeps no reference to them: it copies a
// request's body and the beginning of an incomplete frame. Neither this package nor the Transport changes a buffer
// after it has been passed to Transport.Write.
//
// Nothing in this package is safe for concurrent use: all code runs on the event loop's goroutine.
//
// # Encoding
//
// The encoding follows the Apache Thrift specification ("Thrift Remote Procedure Call" for messages and framing,
// "Thrift Binary protocol encoding" for values). The code is written by hand rather than generated from the IDL, so
// that the decoder works in place and within fixed limits for every message.
package thrift

// Package thrift is the platform's frontend: clients call functions over Thrift with the framed transport and the
// strict binary protocol.
//
// The service that clients see, in Thrift's interface language:
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
// # Terms
//
// A call is the invocation of a method on the wire; its connection and its sequence ID identify it. A request is what an
// execute call asks for; the router knows it by its policy.RequestID. An execute call is open until it is replied to or
// cancelled. The router's final answer to a request (router.Response) becomes the one reply to the call.
//
// A message is a call, or another of the types of messages; it fills one frame. The fields of a request are the names and
// values in the map of an execute call (request.go). The fields of a Thrift struct are known by their field IDs.
//
// # The way of a call
//
//   - connection.OnData receives bytes and cuts them into frames (connection.go).
//   - connection.handleMessage decodes the message's header and selects the method (message.go).
//   - connection.handleExecute decodes the arguments and checks the body and the sequence ID (call.go, decoder.go).
//   - Server.parseRequest turns the fields into a router.Request (request.go).
//   - connection.submit copies the body, opens the call and hands the request to RequestRouter.Submit (call.go).
//   - The router calls call.Respond with the final answer, before Submit returns or later:
//     Served becomes Answer, Refused becomes Backoff, Failed becomes Lost (call.go).
//   - encodeAnswer, encodeBackoff or encodeLost builds the frame, and the Transport sends it (reply.go, encoder.go).
//
// An interrupt of an open call, and the close of the connection, cancel the request; there is no reply. If the client
// ends only its side of the connection, or violates the protocol, the router ends the requests as refused or failed, and
// the calls are replied to.
//
// # Errors
//
// A request whose fields can't be used fails without the router, which neither counts nor logs it: the reply is a Lost with
// the field's name. A Lost from the router has no fields. A call of an unknown method is replied to with a
// TApplicationException. A client that violates the protocol loses its connection: each such error wraps errProtocol
// (errors.go).
//
// # Units, ownership, goroutine
//
// Times on the wire are milliseconds: the client's wait and load time, and Backoff's "after", which is rounded up. In the
// code they are time.Durations, and points in time are durations on the event loop's clock. A request's deadline is earlier
// than the end of the client's wait, so that the reply arrives in time; see router.AnswerBudget.
//
// The bytes that OnData receives belong to the event loop: nothing keeps them, a request's body is copied. Neither this
// package nor the Transport changes a buffer that has been written.
//
// Nothing in this package is safe for concurrent use: everything runs on the event loop's goroutine.
//
// # Encoding
//
// The encoding follows the Apache Thrift specification ("Thrift Remote Procedure Call" for messages and framing, "Thrift
// Binary protocol encoding" for values). It is written by hand, so that a message of any form is decoded in place and
// within fixed limits.
package thrift

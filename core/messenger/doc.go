// Package messenger defines the protocol between the processes and with their
// clients: the JSON types of every endpoint, the error kinds and their HTTP
// status codes, decoding with size limits, and the HTTP client.
//
// JSON field names are in camel case. Durations are integer milliseconds in
// fields whose names end in Ms.
package messenger

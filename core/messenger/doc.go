// Package messenger defines what the processes say to each other and to the
// outside: the JSON types of every endpoint, the closed list of error kinds
// with its table, decoding with limits, and the HTTP clients.
//
// Field names are camel case. Durations are integer milliseconds in fields
// whose names end in Ms.
package messenger

// Package limiter bounds what the clients of a server, and the servers that a process
// calls, can make it hold: connections, requests that wait for a result, and the bytes of
// heads, bodies and replies. Its limits are above what clients reach that keep to the
// platform's limits. At a limit, the connections and bodies that have made the least
// progress are closed first.
package limiter

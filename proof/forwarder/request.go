package forwarder

import (
	"bytes"
	"strconv"
	"strings"
)

// requestTracker parses the HTTP/1.1 requests on one connection just enough to
// find the path of the current request and where it ends.
type requestTracker struct {
	path     string
	head     []byte
	bodyLeft int
}

// feed consumes data from the client. It returns the path of the current request
// and whether the request is now complete.
func (r *requestTracker) feed(data []byte) (string, bool) {
	if r.bodyLeft > 0 {
		r.bodyLeft -= len(data)
		return r.path, r.bodyLeft <= 0
	}
	r.head = append(r.head, data...)
	end := bytes.Index(r.head, []byte("\r\n\r\n"))
	if end < 0 {
		return "", false
	}
	lines := strings.Split(string(r.head[:end]), "\r\n")
	r.bodyLeft = contentLength(lines[1:]) - (len(r.head) - end - 4)
	r.head = r.head[:0]
	if fields := strings.Fields(lines[0]); len(fields) > 1 {
		r.path = fields[1]
	}
	return r.path, r.bodyLeft <= 0
}

// contentLength returns the value of the Content-Length header, 0 if it is
// missing or invalid.
func contentLength(headers []string) int {
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ":")
		if strings.EqualFold(name, "Content-Length") {
			n, _ := strconv.Atoi(strings.TrimSpace(value))
			return n
		}
	}
	return 0
}

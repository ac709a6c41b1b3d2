package forwarder

import (
	"bytes"
	"strconv"
	"strings"
)

// request follows the HTTP/1.1 requests on one connection, as far as it takes
// to know the path of the present one and where it ends.
type request struct {
	path string
	head []byte
	left int
}

// add takes data from the client. It returns the path of the present request
// and whether the request is now whole.
func (r *request) add(data []byte) (string, bool) {
	if r.left > 0 {
		r.left -= len(data)
		return r.path, r.left <= 0
	}
	r.head = append(r.head, data...)
	end := bytes.Index(r.head, []byte("\r\n\r\n"))
	if end < 0 {
		return "", false
	}
	lines := strings.Split(string(r.head[:end]), "\r\n")
	r.left = bodyBytes(lines[1:]) - (len(r.head) - end - 4)
	r.head = r.head[:0]
	if words := strings.Fields(lines[0]); len(words) > 1 {
		r.path = words[1]
	}
	return r.path, r.left <= 0
}

func bodyBytes(headers []string) int {
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ":")
		if strings.EqualFold(name, "Content-Length") {
			n, _ := strconv.Atoi(strings.TrimSpace(value))
			return n
		}
	}
	return 0
}

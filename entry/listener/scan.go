package listener

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// maxCheckedFields bounds the fields that are checked for duplicates. No
	// message has that many fields. If a body has more and repeats none of the
	// first ones, some of them are unknown, and the decoder refuses it.
	maxCheckedFields = 32
	// maxNameBytes bounds the names in a submission, because they are kept in
	// memory even if the job is refused. Names in a configuration have at most
	// 64 bytes.
	maxNameBytes = 256
)

// bodyScanner collects, in one pass over a body, what must be checked before
// decoding, because a decoded body may take many times its size in memory.
type bodyScanner struct {
	depth   int
	wantKey bool
	fields  []string
	inTasks bool
	tasks   int
}

// checkStructure refuses a body that is not valid UTF-8, that does not begin as
// a JSON object, that repeats a field of this object or that has too many tasks.
// All other syntax errors, including data after the object, are left to the
// decoder.
func checkStructure(body []byte, maxTasks int) *messenger.Error {
	if at := invalidUTF8(body); at >= 0 {
		return messenger.NewError(messenger.BadRequest, fmt.Sprintf("invalid UTF-8 at byte %d", at))
	}
	first := len(body) - len(bytes.TrimLeft(body, " \t\r\n"))
	if first < len(body) && body[first] != '{' {
		return messenger.NewError(messenger.BadRequest, fmt.Sprintf("the body must be a JSON object, but begins with %q at byte %d", body[first], first))
	}
	var scanner bodyScanner
	for i := first; i < len(body); i++ {
		if body[i] != '"' {
			scanner.scanByte(body[i])
			continue
		}
		end := endOfString(body, i)
		if repeated := scanner.scanString(body[i:end]); repeated != "" {
			return messenger.NewError(messenger.BadRequest, fmt.Sprintf("field %q appears again at byte %d", repeated, i))
		}
		i = end - 1
	}
	if scanner.tasks > maxTasks {
		return messenger.NewError(messenger.TooLarge, fmt.Sprintf("tasks: %d elements, at most %d allowed", scanner.tasks, maxTasks))
	}
	return nil
}

// scanByte handles a byte outside strings.
func (s *bodyScanner) scanByte(c byte) {
	switch c {
	case '{', '[':
		s.depth++
		s.wantKey = s.wantKey || s.depth == 1
		if s.depth == 2 && c == '[' && len(s.fields) > 0 && strings.EqualFold(s.fields[len(s.fields)-1], "tasks") {
			s.inTasks, s.tasks = true, 1
		}
	case '}', ']':
		s.depth--
		s.inTasks = s.inTasks && s.depth > 1
	case ',':
		s.wantKey = s.depth == 1
		if s.inTasks && s.depth == 2 {
			s.tasks++
		}
	}
}

// scanString handles a string with its quotes. If the string is the name of a
// field that occurred before, it returns the name, otherwise an empty string.
// Like the decoder, it ignores letter case.
func (s *bodyScanner) scanString(quoted []byte) string {
	if s.depth != 1 || !s.wantKey || len(s.fields) >= maxCheckedFields {
		return ""
	}
	s.wantKey = false
	var name string
	if json.Unmarshal(quoted, &name) != nil {
		return ""
	}
	for _, f := range s.fields {
		if strings.EqualFold(f, name) {
			return truncate(name)
		}
	}
	s.fields = append(s.fields, name)
	return ""
}

// endOfString returns the index after the string that starts at i.
func endOfString(body []byte, i int) int {
	for i++; i < len(body); i++ {
		switch body[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(body)
}

// invalidUTF8 returns the index of the first byte that is not valid UTF-8, or
// -1.
func invalidUTF8(body []byte) int {
	if utf8.Valid(body) {
		return -1
	}
	for i := 0; ; {
		r, n := utf8.DecodeRune(body[i:])
		if r == utf8.RuneError && n <= 1 {
			return i
		}
		i += n
	}
}

// checkNameLengths refuses names over maxNameBytes, which is longer than any
// name in a configuration.
func checkNameLengths(sub messenger.Submission) *messenger.Error {
	for _, f := range []struct{ name, value string }{
		{"team", sub.Team}, {"service", sub.Service}, {"requestType", sub.RequestType}, {"priority", string(sub.Priority)},
	} {
		if len(f.value) > maxNameBytes {
			return messenger.NewError(messenger.BadRequest, fmt.Sprintf("%s: %d bytes, at most %d allowed", f.name, len(f.value), maxNameBytes))
		}
	}
	return nil
}

// truncate shortens text of a request to maxNameBytes, so that it can be repeated
// in a reply.
func truncate(text string) string {
	if len(text) <= maxNameBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxNameBytes], "")
}

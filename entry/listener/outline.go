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
	// maxFields bounds the fields that are compared for repeats; a submission
	// has fewer, so the decoder refuses a body with more.
	maxFields = 32
	// maxText bounds the names in a submission, which a refused job keeps. The
	// names of a configuration have at most 64 bytes.
	maxText = 256
)

// outline is what one pass over a body tells about it before it is decoded,
// which may take many times its size.
type outline struct {
	depth   int
	wantKey bool
	fields  []string
	inTasks bool
	tasks   int
}

// checkOutline refuses a submission that is not one object of fields that
// appear once, or that has too many tasks. It does not check the syntax.
func checkOutline(body []byte, maxTasks int) *messenger.Error {
	if at := invalidUTF8(body); at >= 0 {
		return messenger.NewError(messenger.BadRequest, fmt.Sprintf("invalid UTF-8 at byte %d", at))
	}
	first := len(body) - len(bytes.TrimLeft(body, " \t\r\n"))
	if first < len(body) && body[first] != '{' {
		return messenger.NewError(messenger.BadRequest, fmt.Sprintf("the body must be a JSON object, but begins with %q at byte %d", body[first], first))
	}
	var o outline
	for i := first; i < len(body); i++ {
		if body[i] != '"' {
			o.step(body[i])
			continue
		}
		end := endOfString(body, i)
		if again := o.text(body[i:end]); again != "" {
			return messenger.NewError(messenger.BadRequest, fmt.Sprintf("field %q appears again at byte %d", again, i))
		}
		i = end - 1
	}
	if o.tasks > maxTasks {
		return messenger.NewError(messenger.TooLarge, fmt.Sprintf("tasks: %d elements, at most %d allowed", o.tasks, maxTasks))
	}
	return nil
}

// step takes a byte outside strings.
func (o *outline) step(c byte) {
	switch c {
	case '{', '[':
		o.depth++
		o.wantKey = o.wantKey || o.depth == 1
		if o.depth == 2 && c == '[' && len(o.fields) > 0 && strings.EqualFold(o.fields[len(o.fields)-1], "tasks") {
			o.inTasks, o.tasks = true, 1
		}
	case '}', ']':
		o.depth--
		o.inTasks = o.inTasks && o.depth > 1
	case ',':
		o.wantKey = o.depth == 1
		if o.inTasks && o.depth == 2 {
			o.tasks++
		}
	}
}

// text takes a string with its quotes and returns it if it repeats a field.
// The decoder does not tell letter case apart, so neither does this.
func (o *outline) text(quoted []byte) string {
	if o.depth != 1 || !o.wantKey || len(o.fields) >= maxFields {
		return ""
	}
	o.wantKey = false
	var name string
	if json.Unmarshal(quoted, &name) != nil {
		return ""
	}
	for _, f := range o.fields {
		if strings.EqualFold(f, name) {
			return shorten(name)
		}
	}
	o.fields = append(o.fields, name)
	return ""
}

// endOfString returns the index after the string that begins at i.
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

// invalidUTF8 returns the index of the first byte that is not UTF-8, or -1.
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

// checkText refuses names that are longer than any in a configuration.
func checkText(sub messenger.Submission) *messenger.Error {
	for _, f := range []struct{ name, value string }{
		{"team", sub.Team}, {"service", sub.Service}, {"requestType", sub.RequestType}, {"priority", string(sub.Priority)},
	} {
		if len(f.value) > maxText {
			return messenger.NewError(messenger.BadRequest, fmt.Sprintf("%s: %d bytes, at most %d allowed", f.name, len(f.value), maxText))
		}
	}
	return nil
}

// shorten bounds what a reply repeats of a request.
func shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "")
}

// Package loader reads settings files written in JSON with comments and validates
// them. One error lists all problems that the validation finds.
package loader

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Checker is implemented by settings that validate themselves. Check adds every
// problem to f and may set default values.
type Checker interface {
	Check(f *Problems)
}

// Load decodes the file at path into settings and validates the result. If the
// file cannot be read or decoded, the error states the cause. If Check adds
// problems, the error lists all of them, one per line. On error, settings is
// unchanged, with the exception described for [Parse].
func Load(path string, settings Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading settings")
	}
	return Parse(path, data, settings)
}

// Parse is like [Load] but takes the file's content. name appears in errors. On
// error, settings is unchanged, except that maps, slices and pointers that it
// already held may refer to changed contents. settings must be a non-nil pointer.
func Parse(name string, data []byte, settings Checker) error {
	current := reflect.ValueOf(settings).Elem()
	candidate := reflect.New(current.Type())
	candidate.Elem().Set(current)
	if err := parse(name, data, candidate.Interface().(Checker)); err != nil {
		return err
	}
	current.Set(candidate.Elem())
	return nil
}

// parse decodes data into settings and validates the result. It may leave settings
// changed on error.
func parse(name string, data []byte, settings Checker) error {
	standardJSON, err := hujson.Standardize(data)
	if err != nil {
		return errors.Wrapf(err, "settings %s", name)
	}
	if err := messenger.DecodeJSONBytes(standardJSON, settings); err != nil {
		return errors.Newf("settings %s: %s", name, err.Message)
	}
	var f Problems
	settings.Check(&f)
	return errors.Wrapf(f.Err(), "settings %s", name)
}

// Problems collects the validation errors of a settings file. The zero value is
// empty.
type Problems struct {
	list []string
}

// Add records that field holds value, which is not one of the allowed values.
func (f *Problems) Add(field string, value any, allowed string) {
	f.list = append(f.list, fmt.Sprintf("%s is %v; allowed: %s", field, quote(value), allowed))
}

// Err returns one error that lists all problems, or nil if there are none. The text
// calls them faults, a word that tests match.
func (f *Problems) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return errors.Newf("%d faults:\n  %s", len(f.list), strings.Join(f.list, "\n  "))
}

// CheckAddress checks that value is an IP address and a port.
func (f *Problems) CheckAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.Add(field, value, "an IP address and a port, such as 127.0.0.1:7000")
	}
}

// CheckRange sets *n to defaultValue if it is 0 and checks that it lies between
// minimum and maximum, inclusive.
func (f *Problems) CheckRange(field string, n *int64, defaultValue, minimum, maximum int64) {
	if *n == 0 {
		*n = defaultValue
	}
	if *n < minimum || *n > maximum {
		f.Add(field, *n, fmt.Sprintf("%d to %d", minimum, maximum))
	}
}

// CheckOneOf sets *s to the first allowed value if it is empty and checks that it
// is one of the allowed values.
func (f *Problems) CheckOneOf(field string, s *string, allowed ...string) {
	if *s == "" {
		*s = allowed[0]
	}
	for _, a := range allowed {
		if *s == a {
			return
		}
	}
	f.Add(field, *s, strings.Join(allowed, ", "))
}

// CheckName checks that value consists of 1 to 64 ASCII letters, digits, dots,
// dashes or underscores.
func (f *Problems) CheckName(field, value string) {
	const allowed = "1 to 64 characters from A-Z, a-z, 0-9, '.', '-' and '_'"
	if value == "" || len(value) > 64 {
		f.Add(field, value, allowed)
		return
	}
	for _, r := range value {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_", r) {
			f.Add(field, value, allowed)
			return
		}
	}
}

// quote returns a string in quotes and any other value as it is.
func quote(value any) any {
	if s, ok := value.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return value
}

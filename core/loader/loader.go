// Package loader reads settings files written in JSON with comments and
// collects every fault of a file before it reports them.
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

// Checker is implemented by settings that check themselves. Check records each
// fault in f and may fill in defaults.
type Checker interface {
	Check(f *Faults)
}

// Load reads the file at path into settings and checks it. The error lists
// every fault, one a line; settings is then as it was before.
func Load(path string, settings Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading the settings")
	}
	return Parse(path, data, settings)
}

// Parse is [Load] for data that was read before; name appears in errors. After
// an error settings is as it was before, but for the contents of maps that it
// held already. Settings must be a pointer that is not nil.
func Parse(name string, data []byte, settings Checker) error {
	held := reflect.ValueOf(settings).Elem()
	read := reflect.New(held.Type())
	read.Elem().Set(held)
	if err := parse(name, data, read.Interface().(Checker)); err != nil {
		return err
	}
	held.Set(read.Elem())
	return nil
}

func parse(name string, data []byte, settings Checker) error {
	plain, err := hujson.Standardize(data)
	if err != nil {
		return errors.Wrapf(err, "settings %s", name)
	}
	if err := messenger.DecodeBytes(plain, settings); err != nil {
		return errors.Newf("settings %s: %s", name, err.Message)
	}
	var f Faults
	settings.Check(&f)
	return errors.Wrapf(f.Err(), "settings %s", name)
}

// Faults collects what is wrong with a settings file. The zero value is empty.
type Faults struct {
	list []string
}

// Add records that the field holds value where allowed is expected.
func (f *Faults) Add(field string, value any, allowed string) {
	f.list = append(f.list, fmt.Sprintf("%s is %v; allowed: %s", field, quote(value), allowed))
}

// Err returns nil if there are no faults, else one error that lists them all.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return errors.Newf("%d faults:\n  %s", len(f.list), strings.Join(f.list, "\n  "))
}

// Address checks that value is an IP number and a port.
func (f *Faults) Address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.Add(field, value, "an IP number and a port, such as 127.0.0.1:7000")
	}
}

// Range sets *n to preset if it is 0 and checks that it lies between low and
// high, both included.
func (f *Faults) Range(field string, n *int64, preset, low, high int64) {
	if *n == 0 {
		*n = preset
	}
	if *n < low || *n > high {
		f.Add(field, *n, fmt.Sprintf("%d to %d", low, high))
	}
}

// OneOf sets *s to the first of allowed if it is empty and checks that it is
// one of them.
func (f *Faults) OneOf(field string, s *string, allowed ...string) {
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

// Name checks that value is a short name of letters, digits, dots, dashes and
// underscores.
func (f *Faults) Name(field, value string) {
	const allowed = "1 to 64 letters, digits, dots, dashes or underscores"
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

func quote(value any) any {
	if s, ok := value.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return value
}

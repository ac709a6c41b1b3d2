// Package soak runs entries of the operators' platform as separate processes and
// injects seeded random faults through signals and through forwarders on their
// connections. It contains only tests.
package soak

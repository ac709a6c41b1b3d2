// Package soak runs entries of the operators' platform as separate processes
// and breaks them from outside, by signals and by forwarders on their
// connections, with a seed. It has tests only.
package soak

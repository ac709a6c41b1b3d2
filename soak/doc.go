// Package soak runs godwit-platform-entry as separate processes against a
// simulated store and simulated workers. It injects seeded random faults: signals
// to the processes, partitions in forwarders on their connections, and faults of
// the store and the workers. It contains only tests.
package soak

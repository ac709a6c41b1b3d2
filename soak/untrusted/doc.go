// Package untrusted runs an entry of each program, godwit-platform-entry and
// godwit-entry, as a process beside stand-ins of what it calls, while clients attack it
// that keep to no limit. It contains only tests.
package untrusted

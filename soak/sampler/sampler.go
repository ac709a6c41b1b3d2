// Package sampler reads what a process uses of its machine.
package sampler

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process uses.
type Usage struct {
	// PeakMemoryMB is the largest resident set that the process had, and Descriptors the
	// number of its open descriptors.
	PeakMemoryMB, Descriptors int
}

// Sample returns the usage of the process with the given id, or the zero value if it has
// ended.
func Sample(pid int) Usage {
	dir := fmt.Sprintf("/proc/%d", pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return Usage{}
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	// A process that has ended but was not waited for has no such line.
	n, _ := strconv.Atoi(kb)
	files, _ := os.ReadDir(dir + "/fd")
	return Usage{PeakMemoryMB: n >> 10, Descriptors: len(files)}
}

// Max returns the greater of each value of u and o.
func (u Usage) Max(o Usage) Usage {
	return Usage{max(u.PeakMemoryMB, o.PeakMemoryMB), max(u.Descriptors, o.Descriptors)}
}

// Exceeds reports whether a value of u is above that of limit.
func (u Usage) Exceeds(limit Usage) bool {
	return u.PeakMemoryMB > limit.PeakMemoryMB || u.Descriptors > limit.Descriptors
}

// String implements fmt.Stringer.
func (u Usage) String() string {
	return fmt.Sprintf("%d MB resident and %d descriptors", u.PeakMemoryMB, u.Descriptors)
}

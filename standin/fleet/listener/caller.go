package listener

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"
)

// The topics and keys of records in the store.
const (
	OperatorTopic    = "keyed.op"
	ConfigurationKey = "config"
	WorkerTopic      = "keyed.servers"
)

// Limits are the limits for callers in a configuration record.
type Limits struct {
	MaxBodyBytes, MaxHeaderBytes, HeaderTimeoutMs, IdleTimeoutMs int
}

// DefaultLimits are the limits of [Configuration].
var DefaultLimits = Limits{MaxBodyBytes: 262144, MaxHeaderBytes: 16384, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

// Configuration returns a configuration record with a single queue.
func Configuration(version int, host, prefix, service string) []byte {
	return ConfigurationWithLimits(version, host, service, DefaultLimits, prefix)
}

// ConfigurationWithLimits returns a configuration record with a queue for each prefix. The
// first one has the highest priority.
func ConfigurationWithLimits(version int, host, service string, l Limits, prefixes ...string) []byte {
	var routes []string
	for priority, prefix := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"Name":"q%d","Host":%q,"Prefix":%q,"TimeoutMs":1500,"TargetLatencyMs":60,
			"Priority":%d,"Service":%q,"MaxAttempts":3,"Stretch":1.6}`, priority, host, prefix, priority, service))
	}
	// Encoding this type cannot fail.
	limits, _ := json.Marshal(l)
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[%s],"Services":[],"Limits":%s}`, version, strings.Join(routes, ","), limits)
}

// JobBody returns the request body of an opportunistic job with n tasks: the
// response is sent when the job ends.
func JobBody(n int, work Work) string {
	// Encoding these types cannot fail.
	spec, _ := json.Marshal(work)
	body, _ := json.Marshal(map[string]any{
		"Spec": string(spec), "Opportunistic": true,
		"Steps": []map[string]any{{"Count": n, "Cpu": work.CPU, "MemMb": 64, "EstimateMs": cmp.Or(work.EstimateMs, work.WorkMs)}},
	})
	return string(body)
}

// EntrySettings are the fields of the platform's settings file of an entry. IP is
// its IP address, Seed that of another entry, and Store the address of the store.
type EntrySettings struct {
	Name, Zone, IP, Seed, Store string
	// CPUShare is the entry's share of a CPU core, or 0 if it is not stated.
	CPUShare float64
	// MemoryMB and MaxFds limit the process; 0 means 200 MB and no stated limit.
	MemoryMB, MaxFds int
}

// File returns the contents of the settings file.
func (s EntrySettings) File() string {
	return fmt.Sprintf(`NodeName = %q
Zone = %q
Ip = %q
PortRange = [7720, 7735]
Seeds = ["%s:8166"]
[ListenAddrs]
Front = "%s:8161"
ReadyAddr = "%s:8167"
[Limits]
CpuShare = %g
MemoryMb = %d
MaxFds = %d
[platform]
Address = %q
`, s.Name, s.Zone, s.IP, s.Seed, s.IP, s.IP, s.CPUShare, cmp.Or(s.MemoryMB, 200), s.MaxFds, s.Store)
}

package listener

import (
	"cmp"
	"encoding/json"
	"fmt"
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

// Configuration returns a configuration record with a single queue.
func Configuration(version int, host, prefix, service string) []byte {
	return ConfigurationWithLimits(version, host, prefix, service, Limits{MaxBodyBytes: 262144, MaxHeaderBytes: 16384, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000})
}

// ConfigurationWithLimits is Configuration with other limits.
func ConfigurationWithLimits(version int, host, prefix, service string, l Limits) []byte {
	// Encoding this type cannot fail.
	limits, _ := json.Marshal(l)
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"q","Host":%q,"Prefix":%q,"TimeoutMs":1500,"TargetLatencyMs":60,
		"Priority":0,"Service":%q,"MaxAttempts":3,"Stretch":1.6}],"Services":[],"Limits":%s}`, version, host, prefix, service, limits)
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

package listener

import (
	"encoding/json"
	"fmt"
)

// The topics and keys of records in the store.
const (
	OperatorTopic    = "keyed.op"
	ConfigurationKey = "config"
	WorkerTopic      = "keyed.servers"
)

// Configuration returns a configuration record with a single queue.
func Configuration(version int, host, prefix, service string) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"q","Host":%q,"Prefix":%q,"TimeoutMs":1500,"TargetLatencyMs":60,
		"Priority":0,"Service":%q,"MaxAttempts":3,"Stretch":1.6}],"Services":[],"Limits":{"MaxBodyBytes":262144}}`, version, host, prefix, service)
}

// JobBody returns the request body of an opportunistic job with n tasks: the
// response is sent when the job ends.
func JobBody(n int, work Work) string {
	// Encoding these types cannot fail.
	spec, _ := json.Marshal(work)
	body, _ := json.Marshal(map[string]any{
		"Spec": string(spec), "Opportunistic": true,
		"Steps": []map[string]any{{"Count": n, "Cpu": work.CPU, "MemMb": 64, "EstimateMs": work.WorkMs}},
	})
	return string(body)
}

// Settings returns the platform's settings file for an entry. ip is the IP
// address of the entry, seed that of another entry, and store the address of the
// store.
func Settings(name, ip, seed, store string) string {
	return fmt.Sprintf(`NodeName = %q
Zone = "patan"
Ip = %q
PortRange = [7720, 7735]
Seeds = ["%s:8166"]
[ListenAddrs]
Front = "%s:8161"
ReadyAddr = "%s:8167"
[Limits]
MemoryMb = 200
[platform]
Address = %q
`, name, ip, seed, ip, ip, store)
}

package untrusted

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/proof/attacker"
	"github.com/godwitrelay/godwitrelay/standin/fleet/listener"
)

// TestAttacks guards against clients that make an entry run out of memory or descriptors,
// or keep it from answering ordinary requests.
func TestAttacks(t *testing.T) {
	t.Run("platform", func(t *testing.T) {
		program := build(t, "platform")
		steps := `{"Opportunistic":true,"Steps":[{}`
		withstandAll(t, func(t *testing.T, maxFds int) *entry { return startPlatformEntry(t, program, maxFds) }, attacker.Dialect{
			Host:         host,
			JobPath:      func(number int) string { return "/orders/" + jobID(number) },
			Job:          listener.JobBody(1, listener.Work{WorkMs: 50, CPU: 10}),
			ManyElements: steps + strings.Repeat(",{}", (attacker.MaxBodyBytes-len(steps)-2)/3) + "]}",
			LongPath:     func(number int) string { return "/archive/" + jobID(number) },
			LongJob:      listener.JobBody(1, listener.Work{WorkMs: 60_000, CPU: 100}),
			LargeJob:     listener.JobBody(1, listener.Work{WorkMs: 50, CPU: 10}),
			Lookup:       "/orders/", ReadyPath: "/godwitrelay/readiness", MetricsPath: "/metrics",
		})
	})
	t.Run("entry", func(t *testing.T) {
		p := productPrograms{entry: build(t, "entry"), platform: build(t, "standin/platform"), target: build(t, "standin/target")}
		tasks := `{"team":"restaurants","tasks":[{}`
		withstandAll(t, p.start, attacker.Dialect{
			Host:         host,
			JobPath:      func(int) string { return "/v1/jobs" },
			Job:          productJob,
			ManyElements: tasks + strings.Repeat(",{}", (attacker.MaxBodyBytes-len(tasks)-2)/3) + "]}",
			LongPath:     func(int) string { return "/v1/jobs" },
			LongJob:      `{"team":"restaurants","service":"orders","requestType":"archive","wait":true,"deadlineMs":60000,"tasks":[{"runMs":3000}]}`,
			LargeJob:     strings.Replace(productJob, `"value":1`, `"value":"`+strings.Repeat("x", attacker.MaxBodyBytes-200)+`"`, 1),
			Lookup:       "/readyz", ReadyPath: "/debug/pprof/cmdline", MetricsPath: "/metrics",
		})
	})
}

// withstandAll runs all attacks, each on a new entry.
func withstandAll(t *testing.T, start func(t *testing.T, maxFds int) *entry, d attacker.Dialect) {
	for _, a := range attacker.Attacks(d) {
		for _, maxFds := range []int{leastFds, fewFds} {
			t.Run(fmt.Sprint(a.Name, "/", maxFds), func(t *testing.T) { start(t, maxFds).withstand(a) })
		}
	}
}

// jobID returns the id of a job of an attack on the platform's entry.
func jobID(number int) string { return fmt.Sprintf("%016x", number+1) }

// startPlatformEntry starts an entry of the operators' platform beside a store and a
// worker.
func startPlatformEntry(t *testing.T, program string, maxFds int) *entry {
	var store listener.Store
	var fleet listener.Fleet
	worker := fleet.Add("w0", 64000)
	workerServer, storeServer := httptest.NewServer(worker.Handler()), httptest.NewServer(store.Handler())
	t.Cleanup(workerServer.Close)
	t.Cleanup(storeServer.Close)
	store.Put(listener.OperatorTopic, listener.ConfigurationKey, listener.ConfigurationWithLimits(1, host, "router", listener.DefaultLimits, "/orders/", "/archive/"))
	store.Put(listener.WorkerTopic, worker.ID, worker.Record("router", strings.TrimPrefix(workerServer.URL, "http://"), "patan", false))
	e := &entry{t: t, maxFds: maxFds, ip: address()}
	e.starts = func(number int) int { return fleet.StartedForJob(jobID(number)) }
	e.request = func(client *http.Client, id int) (int, error) {
		return post(t, client, fmt.Sprintf("http://%s/orders/%016x", port(e.ip, attacker.Callers), id), listener.JobBody(1, listener.Work{WorkMs: 10, CPU: 100}), nil)
	}
	settings := listener.EntrySettings{
		Name: "entry", Zone: "patan", IP: e.ip, Seed: e.ip, Store: strings.TrimPrefix(storeServer.URL, "http://"), MemoryMB: memoryMB, MaxFds: maxFds,
	}
	return e.start(program, settings.File())
}

// productPrograms are the programs of a deployment with the product's own interface.
type productPrograms struct{ entry, platform, target string }

const (
	productJob = `{"team":"restaurants","service":"orders","requestType":"stock-check","wait":true,"tasks":[{"runMs":10,"value":1}]}`
	// productConfiguration is a change of the configuration: one service with 8 slots.
	productConfiguration = `{"kind":"change","changeId":"c1","author":"test","configuration":{"budgetSlots":8,"failureDomains":["patan"],
		"services":{"orders":{"slots":8,"requestTypes":{"stock-check":{"priority":"urgent","idempotent":true,"maxRunMs":5000},
			"archive":{"priority":"bulk","idempotent":true,"maxRunMs":5000}}}},
		"teams":{"restaurants":{"slots":8}}}}`
	productSettings = `{"name":"e1","failureDomain":"patan","idKey":"00112233445566778899aabbccddeeff","logLevel":"error",
		"callerAddress":%q,"peerAddress":%q,"operatorAddress":%q,"profileAddress":%q,"platform":%q,
		"limits":{"memoryMb":%d,"maxFds":%d}}`
	platformPort, targetPort, controlPort = ":8901", ":8902", ":8903"
)

// start starts an entry beside the stand-ins of the platform and of a target.
func (p productPrograms) start(t *testing.T, maxFds int) *entry {
	ip := address()
	platform := ip + platformPort
	startProcess(t, p.platform, fmt.Sprintf(`{"listen":%q,"listLagMs":100,"logLevel":"error"}`, platform))
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		status, err := post(t, client, "http://"+platform+"/v1/log/config", productConfiguration, nil)
		if status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the platform did not take the configuration: status %d, %v", status, err)
		}
	}
	startProcess(t, p.target, fmt.Sprintf(`{"control":%q,"platform":%q,"logLevel":"error","lease":{"ttlMs":60000},
		"targets":[{"firstAddress":%q,"count":1,"service":"orders","failureDomain":"patan","slots":8}]}`, ip+controlPort, platform, ip+targetPort))
	e := &entry{t: t, maxFds: maxFds, ip: ip}
	e.request = func(client *http.Client, _ int) (int, error) {
		var reply struct {
			IDs []string `json:"ids"`
		}
		if status, err := post(t, client, "http://"+port(ip, attacker.Callers)+"/v1/ids", `{"count":1}`, &reply); err != nil || len(reply.IDs) != 1 {
			return status, err
		}
		return post(t, client, "http://"+port(ip, attacker.Callers)+"/v1/jobs", `{"id":"`+reply.IDs[0]+`",`+productJob[1:], nil)
	}
	return e.start(p.entry, fmt.Sprintf(productSettings, port(ip, attacker.Callers), port(ip, attacker.Peers), port(ip, attacker.Metrics), port(ip, attacker.Ready), platform, memoryMB, maxFds))
}

// post sends a request with a body, decodes the answer into reply unless it is nil, and
// returns the status.
func post(t *testing.T, client *http.Client, url, body string, reply any) (int, error) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = host
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if reply != nil {
		return resp.StatusCode, json.NewDecoder(resp.Body).Decode(reply)
	}
	return resp.StatusCode, nil
}

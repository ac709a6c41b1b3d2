package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/standin/fleet/listener"
)

// configApplyLimit is the time within which a configuration must be in force after
// the store has acknowledged it.
const configApplyLimit = 2 * time.Second

// TestPausedEntryConfiguration guards against an entry that was paused and then
// handles requests with the configuration it had before: 404 for a new queue, or
// 200 for one that was removed longer ago than configApplyLimit.
func TestPausedEntryConfiguration(t *testing.T) {
	d := deploy(t, buildEntry(t), layout{entries: 1, workers: 1, workerCPU: 64000})
	p := d.processes[0]
	status := func(prefix string) int { return queueStatus(t, p, prefix) }
	for end := time.Now().Add(5 * time.Second); status(prefix) != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the entry does not serve the first queue")
		}
	}
	current := prefix
	for version := 2; version <= 5; version++ {
		p.signal(syscall.SIGSTOP)
		next := fmt.Sprintf("/version%d/", version)
		d.store.Put(listener.OperatorTopic, listener.ConfigurationKey, listener.Configuration(version, host, next, "router"))
		time.Sleep(configApplyLimit)
		// The requests are sent while the entry is paused, so that they are the
		// first that it handles.
		got := map[string]chan int{current: make(chan int, 1), next: make(chan int, 1)}
		for prefix, ch := range got {
			go func() { ch <- status(prefix) }()
		}
		time.Sleep(100 * time.Millisecond)
		p.signal(syscall.SIGCONT)
		if s := <-got[next]; s != http.StatusOK {
			t.Errorf("version %d: status %d for its queue, want 200", version, s)
		}
		if s := <-got[current]; s != http.StatusNotFound {
			t.Errorf("version %d: status %d for a removed queue, want 404", version, s)
		}
		current = next
	}
}

// queueStatus returns the status of a request for the number of waiting jobs of
// the queue at prefix, or 0 if the entry gave no answer.
func queueStatus(t *testing.T, p *process, prefix string) int {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.address+":8161"+prefix, nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	req.Host = host
	resp, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

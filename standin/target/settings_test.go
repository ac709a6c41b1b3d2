package main

import (
	"strings"
	"testing"

	"github.com/godwitrelay/godwitrelay/core/loader"
)

// TestSettingsReportAllFaults guards against reporting only the first invalid
// field, which would cost the operator one restart per error.
func TestSettingsReportAllFaults(t *testing.T) {
	var s settings
	err := loader.Parse("test", []byte(`{
		"control": "x", "lease": {}, // no platform
		"targets": [
			{"firstAddress": "127.0.0.1:65535", "count": 2, "service": "", "failureDomain": "a b", "slots": -1},
			{"addresses": ["127.0.0.1:65535"], "service": "s", "failureDomain": "d"},
		],
	}`), &s)
	if err == nil {
		t.Fatal("got no error")
	}
	for _, field := range []string{"control is", "platform is", "[0].service", "[0].failureDomain", "[0].slots", "[0].count", "[1].addresses"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("%q is not reported in: %v", field, err)
		}
	}
}

func TestSettingsDefaults(t *testing.T) {
	var s settings
	err := loader.Parse("test", []byte(`{"control": "127.0.0.1:1", "targets": [
		{"firstAddress": "127.0.0.1:9000", "count": 50, "service": "s", "failureDomain": "d"}]}`), &s)
	if err != nil {
		t.Fatal(err)
	}
	vms := s.Targets[0].vms()
	if len(vms) != 50 || vms[49].Address != "127.0.0.1:9049" || vms[0].Slots != 8 || s.Targets[0].MaxConnections != 60 {
		t.Fatalf("got %+v", s)
	}
}

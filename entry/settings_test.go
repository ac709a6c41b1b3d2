package main

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
	"github.com/godwitrelay/godwitrelay/entry/runner"
)

const validSettings = `{
	"name": "e1", "failureDomain": "patan", "idKey": "00112233445566778899aabbccddeeff",
	"callerAddress": "127.0.0.1:7101", "peerAddress": "127.0.0.1:7201", "operatorAddress": "127.0.0.1:7301"%s
}`

// invalidSettings lists an invalid JSON value for each field and the text in
// the error that states what is allowed.
var invalidSettings = []struct{ field, value, allowed string }{
	{"name", `""`, "1 to 64 characters from A-Z, a-z, 0-9, '.', '-' and '_'"},
	{"failureDomain", `"a~b"`, "1 to 64 characters from A-Z, a-z, 0-9, '.', '-' and '_'"},
	{"region", `"a b"`, "1 to 64 characters from A-Z, a-z, 0-9, '.', '-' and '_'"},
	{"callerAddress", `"localhost:1"`, "an IP address and a port"},
	{"peerAddress", `"0.0.0.0:7201"`, "the IP address and port of one process"},
	{"peerListen", `"127.0.0.1"`, "an IP address and a port"},
	{"operatorAddress", `""`, "an IP address and a port"},
	{"profileAddress", `":1"`, "an IP address and a port"},
	{"platform", `"127.0.0.1:0"`, "the IP address and port of one process"},
	{"logLevel", `"loud"`, "info, debug, warning, error"},
	{"answerKeepMs", "-1", "100 to 3600000"},
	{"idKeepMs", "86400001", "1000 to 86400000"},
	{"balancerNoticeMs", "-1", "1 to 300000"},
	{"stopLingerMs", "600001", "1 to 600000"},
	{"leaseMs", "99", "100 to 600000"},
	{"broker.routing", `"nearest"`, "broker, random, leastInFlight, twoChoices"},
	{"broker.order", `"lifo"`, "fewestLeft, fifo"},
	{"broker.urgentReservePercent", "100", "-1 to 99"},
	{"broker.urgentWaitPercent", "10001", "-1 to 10000"},
	{"broker.bulkAgeMs", "-1", "1 to 3600000"},
	{"broker.bulkShare", "-1", "1 to 1000"},
	{"broker.leaseMs", "-1", "10 to 600000"},
	{"broker.maxWaitingTasks", "-1", "1 to 10000000"},
	{"gossiper.heartbeatMs", "1", "10 to 10000"},
	{"gossiper.remoteMs", "-1", "10 to 60000"},
	{"gossiper.suspectMs", "1", "20 to 60000"},
	{"gossiper.forgetMs", "-1", "20 to 600000"},
	{"gossiper.fanOut", "65", "1 to 64"},
	{"gossiper.maxRows", "65", "1 to 64"},
	{"limits.memoryMb", "63", "64 to 1048576"},
	{"limits.maxFds", "63", "64 to 1073741824"},
	{"limits.bodyBytes", "1", "1024 to 67108864"},
	{"limits.headerBytes", "-1", "1024 to 1048576"},
	{"limits.headerReadMs", "60001", "10 to 60000"},
	{"limits.bodyReadMs", "9", "10 to 600000"},
	{"limits.answerWriteMs", "-5", "10 to 600000"},
	{"limits.tasksPerJob", "100001", "1 to 100000"},
	{"limits.heldBytes", "1", "1048576 to 68719476736"},
	{"limits.answerBytes", "-1", "1048576 to 68719476736"},
	{"limits.defaultDeadlineMs", "-1", "1 to 3600000"},
	{"limits.maxDeadlineMs", "3600001", "1 to 3600000"},
	{"limits.connections", "-1", "1 to 1000000"},
	{"limits.peerConnections", "-1", "1 to 1000000"},
	{"limits.operatorConnections", "1000001", "1 to 1000000"},
}

// nestedJSON encodes fields such as "limits.connections" as nested JSON
// objects.
func nestedJSON(fields map[string]string) string {
	groups := map[string][]string{}
	var top []string
	for field, value := range fields {
		if group, name, ok := strings.Cut(field, "."); ok {
			groups[group] = append(groups[group], fmt.Sprintf("%q: %s", name, value))
		} else {
			top = append(top, fmt.Sprintf("%q: %s", field, value))
		}
	}
	for group, list := range groups {
		top = append(top, fmt.Sprintf("%q: {%s}", group, strings.Join(list, ", ")))
	}
	slices.Sort(top)
	return "{" + strings.Join(top, ", ") + "}"
}

func parseSettings(text string) error {
	var cfg settings
	return loader.Parse("test", []byte(text), &cfg)
}

// wantFaults checks that err contains each of the texts.
func wantFaults(t *testing.T, err error, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("the error does not contain %q: %v", text, err)
		}
	}
}

// TestSettingsFaults guards against faults that are reported one at a time,
// without their field or value, or not at all.
func TestSettingsFaults(t *testing.T) {
	if err := parseSettings(fmt.Sprintf(validSettings, "")); err != nil {
		t.Fatal(err)
	}
	all, texts := map[string]string{}, []string{}
	for _, c := range invalidSettings {
		all[c.field] = c.value
		texts = append(texts, fmt.Sprintf("%s is %s; allowed: %s", c.field, c.value, c.allowed))
	}
	err := parseSettings(nestedJSON(all))
	wantFaults(t, err, append(texts, `idKey is "0 characters"; allowed: at least 32`)...)
	t.Run("in lists and between fields", func(t *testing.T) {
		err := parseSettings(fmt.Sprintf(validSettings, `,
			"seeds": ["127.0.0.1:7202", "x"], "remoteSeeds": ["[::]:1"], "gossiper": {"heartbeatMs": 500, "suspectMs": 100, "forgetMs": 50},
			"limits": {"defaultDeadlineMs": 2000, "maxDeadlineMs": 1000}`))
		wantFaults(t, err, "5 faults", `seeds[1] is "x"`, `remoteSeeds[0] is "[::]:1"`,
			"gossiper.suspectMs is 100; allowed: at least gossiper.heartbeatMs", "gossiper.forgetMs is 50; allowed: at least gossiper.suspectMs",
			"limits.defaultDeadlineMs is 2000; allowed: at most limits.maxDeadlineMs")
	})
	t.Run("above the memory or the descriptors", func(t *testing.T) {
		err := parseSettings(fmt.Sprintf(validSettings, `, "limits": {"memoryMb": 96, "maxFds": 360, "bodyBytes": 8388608, "connections": 400, "heldBytes": 99999999}`))
		wantFaults(t, err, "3 faults", "limits.bodyBytes is 8388608; allowed: at most 6291456", "limits.connections is 400; allowed: at most 72 with limits.memoryMb 96 and limits.maxFds 360",
			"limits.heldBytes is 99999999; allowed: at most 25165824")
	})
	t.Run("a key is not repeated", func(t *testing.T) {
		err := parseSettings(`{"idKey": "00112233445566778899aabbccddeefg"}`)
		if wantFaults(t, err, "idKey"); strings.Contains(err.Error(), "00112233") {
			t.Errorf("the error shows the key: %v", err)
		}
	})
	t.Run("a short maxDeadlineMs needs no other field", func(t *testing.T) {
		if err := parseSettings(fmt.Sprintf(validSettings, `, "limits": {"maxDeadlineMs": 1000}`)); err != nil {
			t.Error(err)
		}
	})
}

// TestEveryNumberIsBounded guards against numeric settings without bounds.
func TestEveryNumberIsBounded(t *testing.T) {
	var visit func(prefix string, of reflect.Type)
	visit = func(prefix string, of reflect.Type) {
		for i := range of.NumField() {
			name, _, _ := strings.Cut(of.Field(i).Tag.Get("json"), ",")
			field := prefix + name
			switch of.Field(i).Type.Kind() {
			case reflect.Struct:
				visit(field+".", of.Field(i).Type)
			case reflect.Int, reflect.Int64:
				for _, value := range []string{"-2", "9223372036854775807"} {
					wantFaults(t, parseSettings(nestedJSON(map[string]string{field: value})), field+" is "+value)
				}
			default:
			}
		}
	}
	visit("", reflect.TypeFor[settings]())
}

// TestUnknownSettings guards against misspelled fields that are silently
// ignored.
func TestUnknownSettings(t *testing.T) {
	wantFaults(t, parseSettings(fmt.Sprintf(validSettings, `, // a comment
		"limits": {"conections": 5}`)), `unknown field "conections"`, "byte")
	wantFaults(t, parseSettings(fmt.Sprintf(validSettings, `, "seeds": 5`)), `"seeds"`, "byte")
}

// TestAddressInUse guards against a startup that continues without one of its
// listeners.
func TestAddressInUse(t *testing.T) {
	e := startEntry(t, "")
	for field, address := range map[string]string{"callerAddress": e.callers, "peerListen": e.peers, "operatorAddress": e.operators, "profileAddress": e.callers} {
		t.Run(field, func(t *testing.T) {
			cfg := settings{CallerAddress: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0"}
			target := map[string]*string{
				"callerAddress": &cfg.CallerAddress, "peerListen": &cfg.PeerListen,
				"operatorAddress": &cfg.OperatorAddress, "profileAddress": &cfg.ProfileAddress,
			}
			*target[field] = address
			_, err := listen(cfg, newListener(cfg, &runner.Runner{}), exporter.New(), logrus.New())
			wantFaults(t, err, field+" "+address, "address already in use")
		})
	}
}

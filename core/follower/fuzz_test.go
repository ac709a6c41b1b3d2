package follower

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// FuzzRecord guards against log records that crash a reader, that are applied
// partially, or that are skipped without being counted.
func FuzzRecord(f *testing.F) {
	for _, seed := range malformed {
		f.Add([]byte(seed))
	}
	for _, r := range []Record{
		{Kind: Change, ChangeID: "next", Base: "first", Configuration: config(2)},
		{Kind: Change, ChangeID: "next", Configuration: config(2)},
		{Kind: Change, ChangeID: "first", Configuration: config(1)},
		{Kind: Snapshot, ChangeID: "first", Version: 1, Configuration: config(1)},
		{Kind: Snapshot, ChangeID: "other", Version: 1, Configuration: config(3)},
	} {
		data, _ := json.Marshal(r)
		f.Add(data)
	}
	f.Add([]byte(`{"kind":"change","changeId":"` + strings.Repeat("x", MaxIDBytes+1) + `","configuration":{"failureDomains":["a"]}}`))
	f.Add([]byte(`{"kind":`))
	first, _ := json.Marshal(Record{Kind: Change, ChangeID: "first", Configuration: config(1)})
	f.Fuzz(func(t *testing.T, value []byte) {
		s := New()
		page := messenger.LogPage{Next: 2, Records: []messenger.LogRecord{{Offset: 0, Value: first}, {Offset: 1, Value: value}}}
		res, err := s.ApplyPage(epoch, page)
		if err != nil || !res.CaughtUp {
			t.Fatalf("page was not applied to its end: %+v, error %v", res, err)
		}
		checkApplied(t, s.Current(), res, value)
	})
}

// checkApplied checks the state of a reader that applied value at offset 1 on top
// of version 1.
func checkApplied(t *testing.T, got Accepted, res Result, value []byte) {
	t.Helper()
	r, err := Parse(1, value)
	if err != nil {
		if len(res.Skipped) != 1 || res.Skipped[0].Offset != 1 || res.Skipped[0].Reason == "" {
			t.Errorf("got skipped records %+v, want the record at offset 1 with a reason", res.Skipped)
		}
	}
	want := Accepted{Version: 1, ChangeID: "first", ReadThrough: 1, Configuration: config(1)}
	if err == nil && r.Kind == Change && r.Base == "first" {
		want.Version, want.ChangeID, want.Configuration = 2, r.ChangeID, r.Configuration
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	if got.Configuration.Validate() != nil {
		t.Errorf("an invalid configuration is in force: %+v", got)
	}
}

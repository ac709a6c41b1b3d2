package messenger

import (
	"encoding/json"
	"reflect"
	"testing"
)

// requests has one value of each type that a process decodes from another.
var requests = []any{
	IDsRequest{Count: 3},
	Submission{Team: "t", Service: "s", RequestType: "r", Tasks: []json.RawMessage{json.RawMessage(`{"a":1}`)}},
	TaskRequest{TaskID: "j/0", Payload: json.RawMessage(`[1]`)},
	SlotsRequest{From: Member{Address: "127.0.0.1:1", Incarnation: 1 << 63}, Requests: []SlotRequest{{JobID: "j", Tasks: []int{0}}}},
	GrantsRequest{Grants: []Grant{{ID: 1}}, Refusals: []SlotRefusal{{JobID: "j", Error: *NewError(Overloaded, "")}}},
	Heartbeat{Members: []MemberState{{Counter: 1}}},
	LeaseRequest{TTLMs: 5},
	UsageReport{ID: "u"},
	LogPage{Records: []LogRecord{{Value: json.RawMessage(`{}`)}}},
	VMList{VMs: []VM{{Role: TargetVM}}},
}

// FuzzDecodeBytes guards against a request that crashes the decoder or that is
// refused without a reason, and against accepted requests that change when they
// are passed on.
func FuzzDecodeBytes(f *testing.F) {
	for _, r := range requests {
		data, err := json.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)-1])
		f.Add(append(data, data...))
	}
	for _, seed := range []string{"", "null", "[]", `{"count":"x"}`, `{"count":1.5}`, `{"odd":1}`, `{"to":"-1"}`, "{\"id\":\"\xff\"}", `{"tasks":[`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, r := range requests {
			v := reflect.New(reflect.TypeOf(r)).Interface()
			if err := DecodeBytes(data, v); err != nil {
				if err.Kind != BadRequest || err.Message == "" || err.Ran != DidNotRun {
					t.Errorf("%T refused with %+v", r, err)
				}
				continue
			}
			checkPassedOn(t, v)
		}
	})
}

func checkPassedOn(t *testing.T, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatalf("%T can't be encoded again: %v", v, err)
	}
	again := reflect.New(reflect.TypeOf(v).Elem()).Interface()
	if err := DecodeBytes(data, again); err != nil {
		t.Fatalf("%T is refused when it is passed on: %v", v, err)
	}
	twice, err := json.Marshal(again)
	if err != nil || string(twice) != string(data) {
		t.Errorf("%T changes when it is passed on:\n%s\n%s", v, data, twice)
	}
}

// TestDecodeNamesThePlace guards against refusals that don't tell where the
// request is wrong.
func TestDecodeNamesThePlace(t *testing.T) {
	for body, want := range map[string]string{
		`{"count":"x"}`:     `field "count" at byte 12: expected int, got string`,
		`{"count":1}{}`:     "unexpected data after the JSON value at byte 12",
		`{"count":1`:        "the JSON value ends too early",
		`{"count":1,}`:      "invalid JSON at byte 12: invalid character '}' looking for beginning of object key string",
		`{"count":1,"c":2}`: `invalid JSON before byte 17: json: unknown field "c"`,
	} {
		if err := DecodeBytes([]byte(body), new(IDsRequest)); err == nil || err.Message != want {
			t.Errorf("%s: got %v\nwant %s", body, err, want)
		}
	}
}

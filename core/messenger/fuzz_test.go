package messenger

import (
	"encoding/json"
	"reflect"
	"testing"
)

// messages has one value of each type of this package that is the body of a
// request, and of the replies LogPage and VMList.
var messages = []any{
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

// FuzzDecodeBytes guards against a message that crashes the decoder or is
// refused without a reason, and against messages that change when they are
// decoded and encoded again in order to be forwarded.
func FuzzDecodeBytes(f *testing.F) {
	for _, message := range messages {
		data, err := json.Marshal(message)
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
		for _, message := range messages {
			v := reflect.New(reflect.TypeOf(message)).Interface()
			if err := DecodeJSONBytes(data, v); err != nil {
				if err.Kind != BadRequest || err.Message == "" || err.Ran != DidNotRun {
					t.Errorf("%T: refused with %+v", message, err)
				}
				continue
			}
			checkRoundTrip(t, v)
		}
	})
}

func checkRoundTrip(t *testing.T, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatalf("%T can't be encoded again: %v", v, err)
	}
	decoded := reflect.New(reflect.TypeOf(v).Elem()).Interface()
	if err := DecodeJSONBytes(data, decoded); err != nil {
		t.Fatalf("%T is refused after a round trip: %v", v, err)
	}
	reencoded, err := json.Marshal(decoded)
	if err != nil || string(reencoded) != string(data) {
		t.Errorf("%T changes in a round trip:\n%s\n%s", v, data, reencoded)
	}
}

// TestDecodeErrorLocation guards against error messages that don't state the
// location of the error in the request.
func TestDecodeErrorLocation(t *testing.T) {
	for body, want := range map[string]string{
		`{"count":"x"}`:     `field "count" at byte 12: expected int, got string`,
		`{"count":1}{}`:     "unexpected data after the JSON value at byte 12",
		`{"count":1`:        "the JSON value ends too early",
		`{"count":1,}`:      "invalid JSON at byte 12: invalid character '}' looking for beginning of object key string",
		`{"count":1,"c":2}`: `invalid JSON before byte 17: json: unknown field "c"`,
	} {
		if err := DecodeJSONBytes([]byte(body), new(IDsRequest)); err == nil || err.Message != want {
			t.Errorf("%s: got %v\nwant %s", body, err, want)
		}
	}
}

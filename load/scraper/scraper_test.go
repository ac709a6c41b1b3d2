package scraper

import (
	"reflect"
	"testing"
)

// TestFillMissing guards against losing the counters of an entry that died
// during a run, and against replacing the final counters of a live entry with
// older ones.
func TestFillMissing(t *testing.T) {
	type counters = map[string]map[string]float64
	last := Snapshot{
		messages: counters{"dead": {"start": 7}, "live": {"start": 1}},
		wasted:   counters{"dead": {"busy": 2}, "live": {}},
	}
	after, partial := Snapshot{messages: counters{"live": {"start": 5}}, wasted: counters{"live": {}}}.FillMissing(last)
	if !reflect.DeepEqual(partial, []string{"dead"}) || after.messages["live"]["start"] != 5 ||
		after.messages["dead"]["start"] != 7 || after.wasted["dead"]["busy"] != 2 {
		t.Errorf("partial %v, snapshot %+v", partial, after)
	}
}

// TestNewMessageReport guards against counting the messages of processes that
// were read only once, and against counting messages from before the run.
func TestNewMessageReport(t *testing.T) {
	type counters = map[string]map[string]float64
	before := Snapshot{
		messages:       counters{"a": {"start": 10, "slots": 5}, "killed": {"start": 100}},
		wasted:         counters{"a": {"busy": 1}, "killed": {}},
		targets:        counters{"t": {"starts": 3}},
		startsByTarget: counters{"t": {"x": 1, "y": 2}},
	}
	after := Snapshot{
		messages:       counters{"a": {"start": 30, "slots": 5, "probe": 2}, "late": {"start": 7}},
		wasted:         counters{"a": {"busy": 1, "probe": 2}, "late": {}},
		targets:        counters{"t": {"starts": 23}},
		startsByTarget: counters{"t": {"x": 11, "y": 12}},
	}
	got := NewMessageReport(before, after, 20)
	want := &MessageReport{
		Messages: map[string]float64{"start": 20, "slots": 0, "probe": 2},
		Wasted:   map[string]float64{"busy": 0, "probe": 2},
		Targets:  map[string]float64{"starts": 20}, StartsByTarget: map[string]float64{"x": 10, "y": 10}, FinishedTasks: 20,
		AllMessages: 22, AllWasted: 2, MessagesPerTask: 1.1, WastedPerTask: 0.1,
		Missing: []string{"killed", "late"},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("report %+v, expected %+v", got, want)
	}
}

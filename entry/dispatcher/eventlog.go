package dispatcher

import (
	"bufio"
	"encoding/json"
	"hash/fnv"
	"io"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
)

// event is one line of an event log. AtNs is the time since the start in
// nanoseconds. Effects is a hash of the commands that the reducer returned.
// The first line has only Settings and Start.
type event struct {
	AtNs     int64           `json:"atNs,omitempty"`
	Type     string          `json:"type,omitempty"`
	Msg      json.RawMessage `json:"msg,omitempty"`
	Effects  uint64          `json:"effects,omitempty,string"`
	Settings *Settings       `json:"settings,omitempty"`
	Start    time.Time       `json:"start,omitzero"`
}

// EventLog writes every event of a reducer to a file, for an exact replay with
// [Replay]. The file contains payloads and the key that signs job ids: protect
// it like the settings.
//
// Commands are recorded as a hash that also covers their texts. If the text of a
// Reply or a Log changes, recordings of earlier builds that contain it fail to
// replay.
type EventLog struct {
	out   io.Writer
	start time.Time
}

// NewEventLog starts the event log of a reducer created by [New] with start
// and cfg.
func NewEventLog(out io.Writer, start time.Time, cfg Settings) (*EventLog, error) {
	line, err := json.Marshal(event{Settings: &cfg, Start: start})
	if err != nil {
		return nil, errors.Wrap(err, "encoding the settings")
	}
	if _, err := out.Write(append(line, '\n')); err != nil {
		return nil, errors.Wrap(err, "writing the event log")
	}
	return &EventLog{out: out, start: start}, nil
}

// Write records one event and the commands that it caused. On a nil log it
// does nothing. Ticks without commands are recorded too, because they advance
// the time.
func (l *EventLog) Write(now time.Time, msg Msg, cmds []Cmd) {
	if l == nil {
		return
	}
	data, err := json.Marshal(msg)
	if err != nil {
		return
	}
	line, err := json.Marshal(event{
		AtNs: now.Sub(l.start).Nanoseconds(), Type: reflect.TypeOf(msg).Name(), Msg: data, Effects: digestCommands(cmds),
	})
	if err != nil {
		return
	}
	_, _ = l.out.Write(append(line, '\n'))
}

// digestCommands returns a hash of the type names and the JSON encoding of the
// commands, texts included, or 0 if there are none.
func digestCommands(cmds []Cmd) uint64 {
	if len(cmds) == 0 {
		return 0
	}
	h := fnv.New64a()
	enc := json.NewEncoder(h)
	for _, cmd := range cmds {
		_, _ = io.WriteString(h, reflect.TypeOf(cmd).Name())
		_ = enc.Encode(cmd)
	}
	return h.Sum64()
}

// Replay passes the events of a log to a new reducer, calls onEvent for each
// with the commands it caused, and returns the number of events. It fails at
// the first event whose commands differ from the recorded ones. A truncated
// last line is ignored.
func Replay(in io.Reader, onEvent func(now time.Time, msg Msg, cmds []Cmd)) (int, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 1<<20), 1<<30)
	var s *State
	var start time.Time
	n := 0
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			if !lines.Scan() {
				return n, nil
			}
			return n, errors.Wrapf(err, "event %d", n+1)
		}
		if e.Settings != nil {
			start = e.Start
			s = New(start, *e.Settings)
			continue
		}
		if s == nil {
			return n, errors.New("the event log does not begin with the settings")
		}
		msg, err := decodeMsg(e)
		if err != nil {
			return n, errors.Wrapf(err, "event %d", n+1)
		}
		n++
		now := start.Add(time.Duration(e.AtNs))
		cmds := s.Update(now, msg)
		onEvent(now, msg, cmds)
		if got := digestCommands(cmds); got != e.Effects {
			return n, errors.Newf("event %d (%s): the commands differ from the recorded ones", n, e.Type)
		}
	}
	return n, errors.Wrap(lines.Err(), "reading the event log")
}

// msgTypes maps the name of every event type to the type.
var msgTypes = func() map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for _, m := range []Msg{
		IssueIDs{}, Submit{}, Fetch{}, Cancel{}, Abandon{}, Forwarded{}, TaskEnded{}, SlotsReceived{},
		SlotsAnswered{}, GrantsReceived{}, GrantsSent{}, Probed{}, Heard{}, BeatFailed{}, LogRead{},
		SnapshotAppended{}, ConfigurationFetched{}, ConfigurationAsked{}, VMsAsked{}, VMsListed{}, UsageRead{},
		StatusAsked{}, Drain{}, Tick{},
	} {
		types[reflect.TypeOf(m).Name()] = reflect.TypeOf(m)
	}
	return types
}()

func decodeMsg(e event) (Msg, error) {
	t, ok := msgTypes[e.Type]
	if !ok {
		return nil, errors.Newf("unknown event type %q", e.Type)
	}
	v := reflect.New(t)
	if err := json.Unmarshal(e.Msg, v.Interface()); err != nil {
		return nil, errors.Wrap(err, e.Type)
	}
	msg, ok := v.Elem().Interface().(Msg)
	if !ok {
		return nil, errors.Newf("%s is not an event", e.Type)
	}
	return msg, nil
}

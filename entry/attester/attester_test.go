package attester

import (
	"slices"
	"testing"
	"time"
)

const (
	ownerAddress = "10.0.0.1:7720"
	incarnation  = 7
)

// TestStampTime guards against a stamp that counts as newer than it is, and against one
// of another process or machine.
func TestStampTime(t *testing.T) {
	now, boot := time.UnixMilli(1_700_000_000_000), time.Hour
	for name, c := range map[string]struct {
		stamp Stamp
		want  time.Time
	}{
		"sent back after 300 ms": {NewStamp(incarnation, boot-300*time.Millisecond), now.Add(-300 * time.Millisecond)},
		"another process":        {NewStamp(incarnation+1, boot-300*time.Millisecond), time.Time{}},
		"later than now":         {NewStamp(incarnation, boot+time.Second), time.Time{}},
		"out of range":           {Stamp{incarnation, 1 << 62}, time.Time{}},
		"none":                   {Stamp{}, time.Time{}},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := c.stamp.Time(now, incarnation, boot)
			if !got.Equal(c.want) || ok == c.want.IsZero() {
				t.Errorf("time %v, %v, want %v", got, ok, c.want)
			}
		})
	}
}

// TestAttest guards against an attestation that lacks a job for which a request still
// waits, or has one that no request waits for.
func TestAttest(t *testing.T) {
	var s State
	wait := func(address, jobID string) *Request {
		r := s.NewRequest(jobID)
		r.WaitAt(address)
		return r
	}
	first, second, other := wait(ownerAddress, "a"), wait(ownerAddress, "a"), wait(ownerAddress, "b")
	wait("10.0.0.2:7720", "c")
	expect := func(want ...string) {
		t.Helper()
		if got := s.Attest(ownerAddress).Jobs; !slices.Equal(got, want) {
			t.Errorf("jobs %q, want %q", got, want)
		}
	}
	expect("a", "b")
	first.End()
	expect("a", "b")
	second.WaitAt("")
	expect("a", "b")
	second.WaitAt("10.0.0.2:7720")
	second.End()
	expect("b")
	other.End()
	other.End()
	expect()
}

// TestRecord guards against an attestation with a stamp that a later reply has replaced,
// and against an old stamp that is sent along with a job.
func TestRecord(t *testing.T) {
	var s State
	now := time.UnixMilli(1_700_000_000_000)
	expect := func(at time.Time, want Stamp, wantOK bool) {
		t.Helper()
		if got := s.Attest(ownerAddress).Stamp; wantOK && got != want {
			t.Errorf("stamp %v, want %v", got, want)
		}
		if got, ok := s.Stamp(at, ownerAddress); got != want || ok != wantOK {
			t.Errorf("stamp for a job %v, %v, want %v, %v", got, ok, want, wantOK)
		}
	}
	expect(now, Stamp{}, false)
	s.Record(now, ownerAddress, Stamp{incarnation, 2000})
	s.Record(now, ownerAddress, Stamp{incarnation, 1000})
	expect(now, Stamp{incarnation, 2000}, true)
	s.Record(now, ownerAddress, Stamp{incarnation + 1, 500})
	expect(now.Add(maxStampAge), Stamp{incarnation + 1, 500}, true)
	expect(now.Add(maxStampAge+time.Millisecond), Stamp{}, false)
}

package follower

import "testing"

// TestAdoptRejectsConflicts guards against adopting a peer state that is older
// than the reader's own, invalid, or in conflict with it. A state equal to the
// reader's own is valid, but adopting it must not be reported as a change.
func TestAdoptRejectsConflicts(t *testing.T) {
	var l fakeLog
	l.add(epoch, Record{Kind: Change, ChangeID: "c1", Configuration: config(1)})
	l.add(epoch, Record{Kind: Change, ChangeID: "c2", Base: "c1", Configuration: config(2)})
	for name, peer := range map[string]Accepted{
		"lower version":                              {Version: 1, ChangeID: "c1", ReadThrough: 9, Configuration: config(1)},
		"other change":                               {Version: 2, ChangeID: "x", ReadThrough: 9, Configuration: config(2)},
		"other content":                              {Version: 2, ChangeID: "c2", ReadThrough: 9, Configuration: config(3)},
		"higher version, not read further":           {Version: 3, ChangeID: "x", ReadThrough: 1, Configuration: config(3)},
		"version exceeds the number of records read": {Version: 30, ChangeID: "x", ReadThrough: 9, Configuration: config(3)},
		"invalid":                                    {Version: 3, ChangeID: "x", ReadThrough: 9},
		"no change id":                               {Version: 3, ReadThrough: 9, Configuration: config(3)},
		"empty state":                                {ReadThrough: -1},
		"equal state":                                {Version: 2, ChangeID: "c2", ReadThrough: 1, Configuration: config(2)},
	} {
		s := New()
		if _, err := s.ApplyPage(epoch, l.page(epoch, 0, 9)); err != nil {
			t.Fatal(err)
		}
		if got := s.Current(); s.Adopt(peer) || got.ChangeID != "c2" || s.Current().ReadThrough != 1 {
			t.Errorf("%s: peer state was adopted: %+v", name, s.Current())
		}
	}
}

// TestConflictingSnapshot guards against a reader with a position that applies a
// snapshot which conflicts with its state, or does not report it.
func TestConflictingSnapshot(t *testing.T) {
	for name, snapshot := range map[string]Record{
		"other change":   {Version: 1, ChangeID: "x", Configuration: config(1)},
		"other content":  {Version: 1, ChangeID: "c1", Configuration: config(2)},
		"higher version": {Version: 2, ChangeID: "x", ReadThrough: 1, Configuration: config(2)},
	} {
		var l fakeLog
		l.add(epoch, Record{Kind: Change, ChangeID: "c1", Configuration: config(1)})
		l.add(epoch, Record{Kind: Change, ChangeID: "lost", Configuration: config(5)})
		snapshot.Kind = Snapshot
		l.add(epoch, snapshot)
		s := New()
		res, err := s.ApplyPage(epoch, l.page(epoch, 0, 9))
		if err != nil || s.Conflicts() != 1 || len(res.Skipped) != 1 || res.Skipped[0].Offset != 2 || s.Current().ChangeID != "c1" {
			t.Errorf("%s: %+v, %v, %d conflicts, in force %s", name, res.Skipped, err, s.Conflicts(), s.Current().ChangeID)
		}
	}
}

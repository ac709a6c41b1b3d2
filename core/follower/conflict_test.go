package follower

import "testing"

// TestContradictions guards against a reader that follows a peer or a snapshot
// which gives a version another content, or which goes back.
func TestContradictions(t *testing.T) {
	var l fakeLog
	l.add(epoch, Record{Kind: Change, ChangeID: "c1", Configuration: config(1)})
	l.add(epoch, Record{Kind: Change, ChangeID: "c2", Base: "c1", Configuration: config(2)})
	for name, lie := range map[string]Accepted{
		"lower version":          {Version: 1, ChangeID: "c1", ReadThrough: 9, Configuration: config(1)},
		"other change":           {Version: 2, ChangeID: "x", ReadThrough: 9, Configuration: config(2)},
		"other content":          {Version: 2, ChangeID: "c2", ReadThrough: 9, Configuration: config(3)},
		"higher, not ahead":      {Version: 3, ChangeID: "x", ReadThrough: 1, Configuration: config(3)},
		"more than the records":  {Version: 30, ChangeID: "x", ReadThrough: 9, Configuration: config(3)},
		"unsound":                {Version: 3, ChangeID: "x", ReadThrough: 9},
		"no change id":           {Version: 3, ReadThrough: 9, Configuration: config(3)},
		"none":                   {ReadThrough: -1},
		"the same, as a control": {Version: 2, ChangeID: "c2", ReadThrough: 1, Configuration: config(2)},
	} {
		s := New()
		if _, err := s.Fold(epoch, l.page(epoch, 0, 9)); err != nil {
			t.Fatal(err)
		}
		if got := s.Present(); s.Adopt(lie) || got.ChangeID != "c2" || s.Present().ReadThrough != 1 {
			t.Errorf("%s was adopted: %+v", name, s.Present())
		}
	}
}

// TestFalseSnapshot guards against a false snapshot that goes unnoticed by
// readers with a position.
func TestFalseSnapshot(t *testing.T) {
	for name, lie := range map[string]Record{
		"other change":   {Version: 1, ChangeID: "x", Configuration: config(1)},
		"other content":  {Version: 1, ChangeID: "c1", Configuration: config(2)},
		"higher version": {Version: 2, ChangeID: "x", ReadThrough: 1, Configuration: config(2)},
	} {
		var l fakeLog
		l.add(epoch, Record{Kind: Change, ChangeID: "c1", Configuration: config(1)})
		l.add(epoch, Record{Kind: Change, ChangeID: "lost", Configuration: config(5)})
		lie.Kind = Snapshot
		l.add(epoch, lie)
		s := New()
		res, err := s.Fold(epoch, l.page(epoch, 0, 9))
		if err != nil || s.Conflicts() != 1 || len(res.Skipped) != 1 || res.Skipped[0].Offset != 2 || s.Present().ChangeID != "c1" {
			t.Errorf("%s: %+v, %v, %d conflicts, in force %s", name, res.Skipped, err, s.Conflicts(), s.Present().ChangeID)
		}
	}
}

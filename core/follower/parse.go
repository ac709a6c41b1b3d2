package follower

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Limits of a record. They are part of the protocol: a record over them is
// malformed to every reader.
const (
	MaxRecordBytes = 4 << 20
	MaxIDBytes     = 128
)

// Parse decodes the record at offset. The error says why the record is
// malformed. Fields that are not known are ignored, so that readers of an
// older release count the same versions as those of a newer one.
func Parse(offset int64, value []byte) (Record, error) {
	if len(value) > MaxRecordBytes {
		return Record{}, errors.Newf("the record has %d bytes; allowed: %d", len(value), MaxRecordBytes)
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "decoding")
	}
	if r.ChangeID == "" || len(r.ChangeID) > MaxIDBytes {
		return Record{}, errors.Newf("changeId has %d bytes; allowed: 1 to %d", len(r.ChangeID), MaxIDBytes)
	}
	var err error
	switch r.Kind {
	case Change:
		err = r.checkChange()
	case Snapshot:
		err = r.checkSnapshot(offset)
	default:
		err = errors.Newf("kind is %q; allowed: change, snapshot", r.Kind)
	}
	if err != nil {
		return Record{}, err
	}
	if err := r.Configuration.Sound(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r Record) checkChange() error {
	if r.Base == r.ChangeID {
		return errors.Newf("the change %q names itself as its base", r.ChangeID)
	}
	return nil
}

// checkSnapshot refuses a snapshot that speaks of records at or after its own
// offset, and one with more versions than records to count them by.
func (r Record) checkSnapshot(offset int64) error {
	if r.ReadThrough < 0 || r.ReadThrough >= offset {
		return errors.Newf("readThrough is %d in a snapshot at offset %d", r.ReadThrough, offset)
	}
	if r.Version < 1 || r.Version > r.ReadThrough+1 {
		return errors.Newf("version is %d in a snapshot with readThrough %d", r.Version, r.ReadThrough)
	}
	return nil
}

package follower

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Record size limits. They are part of the protocol: every reader must treat a
// record that exceeds them as malformed.
const (
	MaxRecordBytes = 4 << 20
	MaxIDBytes     = 128
)

// Parse decodes and validates the record at offset. It returns an error if the
// record is malformed. Unknown fields are ignored so that older and newer
// releases assign the same version numbers.
func Parse(offset int64, value []byte) (Record, error) {
	if len(value) > MaxRecordBytes {
		return Record{}, errors.Newf("record is %d bytes long; the limit is %d", len(value), MaxRecordBytes)
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "decoding record")
	}
	if r.ChangeID == "" || len(r.ChangeID) > MaxIDBytes {
		return Record{}, errors.Newf("changeId is %d bytes long; it must have 1 to %d bytes", len(r.ChangeID), MaxIDBytes)
	}
	var err error
	switch r.Kind {
	case Change:
		err = r.checkChange()
	case Snapshot:
		err = r.checkSnapshot(offset)
	default:
		err = errors.Newf("unknown record kind %q; it must be change or snapshot", r.Kind)
	}
	if err != nil {
		return Record{}, err
	}
	if err := r.Configuration.Validate(); err != nil {
		return Record{}, err
	}
	return r, nil
}

// checkChange rejects a change that has itself as its base.
func (r Record) checkChange() error {
	if r.Base == r.ChangeID {
		return errors.Newf("change %q has itself as its base", r.ChangeID)
	}
	return nil
}

// checkSnapshot rejects a snapshot whose ReadThrough is negative or not before
// its own offset, and one whose version is less than 1 or exceeds the number of
// records up to and including ReadThrough.
func (r Record) checkSnapshot(offset int64) error {
	if r.ReadThrough < 0 || r.ReadThrough >= offset {
		return errors.Newf("readThrough %d is out of range for a snapshot at offset %d", r.ReadThrough, offset)
	}
	if r.Version < 1 || r.Version > r.ReadThrough+1 {
		return errors.Newf("version %d is out of range for a snapshot with readThrough %d", r.Version, r.ReadThrough)
	}
	return nil
}

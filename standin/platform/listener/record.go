package listener

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// readRecord reads a log record: one JSON value of at most limit bytes, kept
// without surrounding white space and line breaks.
func readRecord(r *http.Request, limit int64) (json.RawMessage, *messenger.Error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, messenger.NewError(messenger.BadRequest, "the body could not be read: "+err.Error())
	}
	if int64(len(data)) > limit {
		return nil, messenger.NewError(messenger.TooLarge, "the record is over "+strconv.FormatInt(limit, 10)+" bytes")
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return nil, messenger.NewError(messenger.BadRequest, "the record is not one JSON value: "+err.Error())
	}
	return compact.Bytes(), nil
}

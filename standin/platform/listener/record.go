package listener

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// readRecord reads a log record, which is a single JSON value of at most limit
// bytes, and removes insignificant white space.
func readRecord(r *http.Request, limit int64) (json.RawMessage, *messenger.Error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, messenger.NewError(messenger.BadRequest, "reading body: "+err.Error())
	}
	if int64(len(data)) > limit {
		return nil, messenger.NewError(messenger.TooLarge, "record exceeds "+strconv.FormatInt(limit, 10)+" bytes")
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return nil, messenger.NewError(messenger.BadRequest, "record is not a single JSON value: "+err.Error())
	}
	return compact.Bytes(), nil
}

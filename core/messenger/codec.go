package messenger

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Decode reads one JSON value of at most limit bytes from r into v. Unknown
// fields, trailing data and wrong types are errors that name the place. The
// error's kind is TooLarge or BadRequest.
func Decode(r io.Reader, limit int64, v any) *Error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return NewError(BadRequest, "the body could not be read: "+err.Error())
	}
	if int64(len(data)) > limit {
		return NewError(TooLarge, fmt.Sprintf("the body is over %d bytes", limit))
	}
	return DecodeBytes(data, v)
}

// DecodeBytes is [Decode] for a body that was read before.
func DecodeBytes(data []byte, v any) *Error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return NewError(BadRequest, decodeMessage(err, dec.InputOffset()))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return NewError(BadRequest, fmt.Sprintf("unexpected data after the JSON value at byte %d", dec.InputOffset()))
	}
	return nil
}

func decodeMessage(err error, offset int64) string {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf("invalid JSON at byte %d: %v", syntax.Offset, err)
	case errors.As(err, &wrongType):
		return fmt.Sprintf("field %q at byte %d: expected %s, got %s", wrongType.Field, wrongType.Offset, wrongType.Type, wrongType.Value)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "the JSON value ends too early"
	default:
		return fmt.Sprintf("invalid JSON before byte %d: %v", offset, err)
	}
}

// Reply writes v as JSON with the given status. A write error means that the
// reader is gone, and is dropped.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

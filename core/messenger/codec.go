package messenger

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// DecodeJSON decodes a single JSON value of at most limit bytes from r into v.
// Unknown fields, trailing data and wrong types are errors whose message states
// the location. The kind of the error is TooLarge or BadRequest.
func DecodeJSON(r io.Reader, limit int64, v any) *Error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return NewError(BadRequest, "the body could not be read: "+err.Error())
	}
	if int64(len(data)) > limit {
		return NewError(TooLarge, fmt.Sprintf("the body is over %d bytes", limit))
	}
	return DecodeJSONBytes(data, v)
}

// DecodeJSONBytes is like [DecodeJSON] for a body that is already in memory.
func DecodeJSONBytes(data []byte, v any) *Error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return NewError(BadRequest, decodeErrorMessage(err, dec.InputOffset()))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return NewError(BadRequest, fmt.Sprintf("unexpected data after the JSON value at byte %d", dec.InputOffset()))
	}
	return nil
}

// decodeErrorMessage returns a message that states what is wrong and where. offset
// is the position of the decoder.
func decodeErrorMessage(err error, offset int64) string {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return fmt.Sprintf("invalid JSON at byte %d: %v", syntaxErr.Offset, err)
	case errors.As(err, &typeErr):
		return fmt.Sprintf("field %q at byte %d: expected %s, got %s", typeErr.Field, typeErr.Offset, typeErr.Type, typeErr.Value)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "the JSON value ends too early"
	default:
		return fmt.Sprintf("invalid JSON before byte %d: %v", offset, err)
	}
}

// WriteJSON writes v as JSON with the given HTTP status. Errors are ignored: v
// must be encodable, and a write error means that the client has disconnected.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

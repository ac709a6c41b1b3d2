// Package identifier issues and verifies job ids.
//
// An id identifies the owner of the job, which is the only process that may
// start it, by failure domain, peer address and incarnation, followed by a
// sequence number. A message authentication code with a key shared by all
// entries makes ids infeasible to guess, so that an id also authorizes its
// holder to read the job's answer.
package identifier

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	formatVersion = "g1"
	// macBytes is the length of the truncated HMAC-SHA256. With 80 bits,
	// guessing an id is infeasible.
	macBytes   = 10
	fieldCount = 6
)

// ErrInvalid marks an id that this system did not issue.
var ErrInvalid = errors.New("the id was not issued by this system")

// ID is a job id. Address is the owner's peer address (IP:port).
type ID struct {
	FailureDomain string
	Address       string
	Incarnation   uint64
	Sequence      uint64
}

// Signer formats and parses signed ids. Key must be the same on all entries.
type Signer struct {
	Key []byte
}

// Format returns the signed text form of id. The failure domain must not
// contain a tilde, which separates the fields.
func (s Signer) Format(id ID) string {
	body := strings.Join([]string{
		formatVersion, id.FailureDomain, id.Address,
		strconv.FormatUint(id.Incarnation, 16), strconv.FormatUint(id.Sequence, 36),
	}, "~")
	return body + "~" + s.mac(body)
}

// Parse verifies the signature of text and returns the id, or an error marked
// ErrInvalid.
func (s Signer) Parse(text string) (ID, error) {
	macStart := strings.LastIndexByte(text, '~')
	if macStart < 0 || strings.Count(text, "~") != fieldCount-1 {
		return ID{}, errors.WithStack(ErrInvalid)
	}
	if !hmac.Equal([]byte(s.mac(text[:macStart])), []byte(text[macStart+1:])) {
		return ID{}, errors.WithStack(ErrInvalid)
	}
	parts := strings.Split(text[:macStart], "~")
	incarnation, err := strconv.ParseUint(parts[3], 16, 64)
	if err != nil || parts[0] != formatVersion {
		return ID{}, errors.WithStack(ErrInvalid)
	}
	sequence, err := strconv.ParseUint(parts[4], 36, 64)
	if err != nil {
		return ID{}, errors.WithStack(ErrInvalid)
	}
	if _, err := netip.ParseAddrPort(parts[2]); err != nil {
		return ID{}, errors.WithStack(ErrInvalid)
	}
	return ID{FailureDomain: parts[1], Address: parts[2], Incarnation: incarnation, Sequence: sequence}, nil
}

func (s Signer) mac(body string) string {
	h := hmac.New(sha256.New, s.Key)
	h.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

// ParseKey decodes a key of at least 16 bytes from hexadecimal digits.
func ParseKey(text string) ([]byte, error) {
	key, err := hex.DecodeString(text)
	if err != nil {
		return nil, errors.New("must be hexadecimal digits")
	}
	if len(key) < 16 {
		return nil, errors.New("must have at least 32 hexadecimal digits")
	}
	return key, nil
}

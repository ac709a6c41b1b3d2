// Package identifier issues and verifies job ids.
//
// An id names the only process that may start the job: its failure domain, its
// peer address and its incarnation, then a sequence number. A message
// authentication code under a key that all entries share makes ids impossible
// to guess, so an id is also the permission to read the job's answer.
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
	version = "g1"
	// macBytes is the length of the truncated HMAC-SHA256: 80 bits leave no
	// practical chance to guess an id.
	macBytes = 10
	fields   = 6
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

// Signer turns ids into text and back. Key must be the same on all entries.
type Signer struct {
	Key []byte
}

// Format returns id's text. The failure domain must not contain a tilde.
func (s Signer) Format(id ID) string {
	body := strings.Join([]string{
		version, id.FailureDomain, id.Address,
		strconv.FormatUint(id.Incarnation, 16), strconv.FormatUint(id.Sequence, 36),
	}, "~")
	return body + "~" + s.mac(body)
}

// Parse verifies text and returns its parts, or an error marked ErrInvalid.
func (s Signer) Parse(text string) (ID, error) {
	cut := strings.LastIndexByte(text, '~')
	if cut < 0 || strings.Count(text, "~") != fields-1 {
		return ID{}, errors.WithStack(ErrInvalid)
	}
	if !hmac.Equal([]byte(s.mac(text[:cut])), []byte(text[cut+1:])) {
		return ID{}, errors.WithStack(ErrInvalid)
	}
	part := strings.Split(text[:cut], "~")
	incarnation, err := strconv.ParseUint(part[3], 16, 64)
	if err != nil || part[0] != version {
		return ID{}, errors.WithStack(ErrInvalid)
	}
	sequence, err := strconv.ParseUint(part[4], 36, 64)
	if err != nil {
		return ID{}, errors.WithStack(ErrInvalid)
	}
	if _, err := netip.ParseAddrPort(part[2]); err != nil {
		return ID{}, errors.WithStack(ErrInvalid)
	}
	return ID{FailureDomain: part[1], Address: part[2], Incarnation: incarnation, Sequence: sequence}, nil
}

func (s Signer) mac(body string) string {
	h := hmac.New(sha256.New, s.Key)
	h.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

// ParseKey reads a key written as hexadecimal digits: at least 16 bytes.
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

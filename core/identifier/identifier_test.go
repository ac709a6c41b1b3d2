package identifier

import (
	"fmt"
	"math/rand"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var testKey = []byte("0123456789abcdef")

func randomID(rng *rand.Rand) ID {
	address := netip.AddrFrom4([4]byte{byte(rng.Intn(256)), byte(rng.Intn(256)), 0, 1})
	return ID{
		FailureDomain: fmt.Sprintf("domain-%d.x_y", rng.Intn(100)),
		Address:       netip.AddrPortFrom(address, uint16(rng.Intn(65536))).String(),
		Incarnation:   rng.Uint64(),
		Sequence:      rng.Uint64() >> rng.Intn(64),
	}
}

// TestRoundTrip guards against ids that lose a field, that can be modified, or
// that are accepted with a different key.
func TestRoundTrip(t *testing.T) {
	signer := Signer{Key: testKey}
	params := gopter.DefaultTestParametersWithSeed(3)
	params.MinSuccessfulTests = 300
	properties := gopter.NewProperties(params)
	properties.Property("an id is restored and modified ids are rejected", prop.ForAll(func(seed int64) (bool, error) {
		rng := rand.New(rand.NewSource(seed))
		want := randomID(rng)
		text := signer.Format(want)
		got, err := signer.Parse(text)
		if err != nil || got != want {
			return false, fmt.Errorf("%q: got %+v %w", text, got, err)
		}
		if _, err := (Signer{Key: []byte("another key 0123")}).Parse(text); !errors.Is(err, ErrInvalid) {
			return false, errors.New("the id is accepted with a different key")
		}
		return checkModified(signer, text, rng)
	}, gen.Int64()))
	properties.TestingRun(t)
}

// checkModified replaces, deletes and inserts a byte at every position of text,
// and truncates text there.
func checkModified(signer Signer, text string, rng *rand.Rand) (bool, error) {
	for i := range text {
		replacement := string(text[i] ^ byte(1+rng.Intn(127)))
		for _, modified := range []string{
			text[:i] + replacement + text[i+1:], text[:i] + text[i+1:], text[:i] + replacement + text[i:], text[:i],
		} {
			if _, err := signer.Parse(modified); !errors.Is(err, ErrInvalid) && modified != text {
				return false, fmt.Errorf("%q is accepted instead of %q", modified, text)
			}
		}
	}
	return true, nil
}

// TestParseRejects guards against a panic on text that has a valid
// authentication code but malformed fields.
func TestParseRejects(t *testing.T) {
	signer := Signer{Key: testKey}
	for _, body := range []string{
		"g2~d~127.0.0.1:1~1~1", "g1~d~127.0.0.1~1~1", "g1~d~127.0.0.1:1~xyz~1", "g1~d~127.0.0.1:1~1~?", "g1~d~127.0.0.1:1~1", "",
	} {
		if _, err := signer.Parse(body + "~" + signer.mac(body)); !errors.Is(err, ErrInvalid) {
			t.Errorf("%q: error %v", body, err)
		}
	}
}

// TestParseKey guards against accepting malformed keys and keys that are too
// short to protect ids.
func TestParseKey(t *testing.T) {
	for text, valid := range map[string]bool{
		"00112233445566778899aabbccddeeff": true, "00112233445566778899aabbccddee": false, "": false, "key": false,
	} {
		if _, err := ParseKey(text); (err == nil) != valid {
			t.Errorf("%q: error %v", text, err)
		}
	}
}

package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// KeyHash is the SHA-256 of an API key. The configuration holds no clear-text
// keys.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is looked up.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in lower-case hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash in lower-case hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads a hash in hexadecimal.
func (h *KeyHash) UnmarshalText(text []byte) error {
	var parsed KeyHash
	n, err := hex.Decode(parsed[:], limit(text, hex.EncodedLen(len(parsed))+1))
	if err != nil || n != len(parsed) || len(text) != hex.EncodedLen(n) {
		return errors.New("value is not a SHA-256 hash")
	}
	*h = parsed
	return nil
}

// limit cuts text so that decoding it cannot overflow a fixed-size buffer.
func limit(text []byte, n int) []byte {
	return text[:min(len(text), n)]
}

// Allowed describes the format for findings.
func (h *KeyHash) Allowed() string {
	return "64 hexadecimal digits: the SHA-256 of the key"
}

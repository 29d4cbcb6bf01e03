package lagoonstile

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"unicode"
)

// Account is a client account: the keys that identify it, and the rules for its
// requests. A value is immutable once published.
type Account struct {
	// ID must not be empty and has no control characters, because servers get it in a
	// header.
	ID CallerID `json:"id"`
	// Keys holds digests of the keys that identify the account. No two accounts of a
	// plan have the same key.
	Keys []KeyDigest `json:"keys"`
	// Priority takes precedence over the priority of a route. It is nil for that of the
	// route.
	Priority *int `json:"priority,omitempty"`
	// Quota limits the requests of the account.
	Quota Quota `json:"quota"`
}

// Quota limits the requests of one client account on all instances together, to Rate
// times t and Burst more in any time t. Package throttler says how closely it is kept.
// The zero value is no limit.
type Quota struct {
	// Rate is in requests per second. 0 means that there is no limit, and Burst has no
	// effect then.
	Rate float64 `json:"rate"`
	// Burst is a number of requests. At least 0.
	Burst float64 `json:"burst"`
}

// Bounds of quotas, within which times between requests can be computed.
const (
	minQuotaRate = 1e-4
	maxQuota     = 1e9
)

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// KeyDigest is the SHA-256 digest of a client's key. Plans and configurations hold
// digests in place of keys, so that no log line or error shows a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the start of the digest in hexadecimal.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:4]) }

// MarshalText returns the digest in hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText parses a digest in hexadecimal.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("%d characters; expected the %d hexadecimal ones of a SHA-256 digest", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("SHA-256 digest: %w", err)
	}
	return nil
}

// ValidateAccounts returns an error that describes the first account that is invalid or
// has the ID or a key of an earlier one, or nil.
func ValidateAccounts(accounts []Account) error {
	ids := make(map[CallerID]bool, len(accounts))
	owners := make(map[KeyDigest]CallerID, len(accounts))
	for i := range accounts {
		account := &accounts[i]
		if account.ID == "" {
			return fmt.Errorf("account %d has no name", i)
		}
		if err := account.validate(); err != nil {
			return fmt.Errorf("account %q: %w", account.ID, err)
		}
		if ids[account.ID] {
			return fmt.Errorf("account %q: duplicate name", account.ID)
		}
		ids[account.ID] = true
		for _, key := range account.Keys {
			if owner, taken := owners[key]; taken {
				return fmt.Errorf("account %q: the key with digest %v belongs to account %q already", account.ID, key, owner)
			}
			owners[key] = account.ID
		}
	}
	return nil
}

func (a *Account) validate() error {
	for _, char := range string(a.ID) {
		if unicode.IsControl(char) || char == unicode.ReplacementChar {
			return fmt.Errorf("control character in the name")
		}
	}
	switch {
	case a.Priority != nil && *a.Priority < 0:
		return fmt.Errorf("priority %d is negative", *a.Priority)
	case a.Quota.Rate != 0 && !(a.Quota.Rate >= minQuotaRate && a.Quota.Rate <= maxQuota):
		return fmt.Errorf("rate %v is neither 0 nor from %v to %v", a.Quota.Rate, minQuotaRate, maxQuota)
	case !(a.Quota.Burst >= 0 && a.Quota.Burst <= maxQuota):
		return fmt.Errorf("burst %v is not from 0 to %v", a.Quota.Burst, maxQuota)
	}
	return nil
}

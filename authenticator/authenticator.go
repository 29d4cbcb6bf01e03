// Package authenticator finds the client account that a request's key belongs to.
//
// Keys are looked up by their SHA-256 digest. The time of a lookup depends neither
// on the number of accounts nor on how many leading bytes of a wrong key match.
package authenticator

import "lagoonstile"

// Accounts finds accounts by their keys. It is never modified.
type Accounts struct {
	// byKey is nil if there are no accounts at all, so that no key is required.
	byKey map[lagoonstile.KeyDigest]*lagoonstile.Account
}

// New returns the accounts of a valid plan. It refers to them, so they must not be
// modified afterwards. For nil, no key is required.
func New(accounts []lagoonstile.Account) *Accounts {
	if accounts == nil {
		return &Accounts{}
	}
	a := &Accounts{byKey: make(map[lagoonstile.KeyDigest]*lagoonstile.Account, len(accounts))}
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			a.byKey[key] = &accounts[i]
		}
	}
	return a
}

// Required reports whether requests need a key.
func (a *Accounts) Required() bool { return a.byKey != nil }

// Lookup returns the account with the key that a request's header has. The result is
// nil unless there is exactly one value, and an account has it as a key.
func (a *Accounts) Lookup(values []string) *lagoonstile.Account {
	if len(values) != 1 || values[0] == "" {
		return nil
	}
	return a.byKey[lagoonstile.DigestKey(values[0])]
}

package configuration

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"maps"
	"strings"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

const (
	tenantsField     = "subscribers"
	credentialsField = "credentials"
	// credentialMost and tenantNameMost bound keys and names, in bytes: both stand in a head.
	credentialMost = 1024
	tenantNameMost = 256
	// keyDigestBytes are kept of the SHA-256 of a key.
	keyDigestBytes = 16
)

// Tenant is one subscriber of a configuration.
type Tenant struct {
	Name ids.Tenant `json:"name" validate:"required"`
	// Credentials are the tenant's keys, or what KeyDigest makes of them.
	Credentials []string `json:"credentials"`
	// Priority ranks the tenant's requests before their routes do, 0 first.
	Priority int `json:"priority"`
	// RatePerS is how many requests a second all relays together let through, 0 for no limit, and
	// BurstSize how many on top of that.
	RatePerS  float64 `json:"rate-per-s" validate:"gte=0,lte=1e9"`
	BurstSize float64 `json:"burst-size" validate:"gte=0,lte=1e9"`
}

// Limited tells whether the tenant has a limit.
func (t *Tenant) Limited() bool { return t.RatePerS > 0 }

// KeyDigest stands for a key wherever the key itself is not needed.
type KeyDigest [keyDigestBytes]byte

// DigestOf is the digest of a key.
func DigestOf(key []byte) KeyDigest {
	sum := sha256.Sum256(key)
	return KeyDigest(sum[:keyDigestBytes])
}

// String is the digest as it stands in a document.
func (d KeyDigest) String() string { return base64.RawURLEncoding.EncodeToString(d[:]) }

// readDigest reads a digest as it stands in a document.
func readDigest(s string) (d KeyDigest, err error) {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(b) != keyDigestBytes {
		return d, codes.New(codes.BadItem, "a digest of a key")
	}
	return KeyDigest(b), nil
}

// visible tells whether a text can stand in a head by itself: printable ASCII without blanks.
func visible(s string, most int) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != "" && len(s) <= most
}

// tenantFaults are the faults of the tenants of a document. None of them shows a key.
func (d *Doc) tenantFaults(tags func(what string, v any), add func(c codes.Code, f string, a ...any)) {
	names, holders := map[ids.Tenant]bool{}, map[string]ids.Tenant{}
	for _, t := range d.Tenants {
		if t == nil {
			add(codes.BadItem, "a subscriber is null")
			continue
		}
		if !visible(string(t.Name), tenantNameMost) {
			add(codes.BadItem, "a subscriber's name is empty, too long or not printable")
			continue
		}
		tags("subscriber "+string(t.Name), t)
		if names[t.Name] {
			add(codes.SamePlace, "two subscribers are named %s", t.Name)
		}
		names[t.Name] = true
		for _, key := range t.Credentials {
			if !visible(key, credentialMost) {
				add(codes.BadItem, "subscriber %s: a key is empty, too long or not printable", t.Name)
				continue
			}
			if other, ok := holders[key]; ok {
				add(codes.SharedKey, "subscribers %s and %s", other, t.Name)
			}
			holders[key] = t.Name
		}
	}
}

// digestsOf are the digests of a list of keys, both as JSON.
func digestsOf(b json.RawMessage) (json.RawMessage, bool) {
	var keys []string
	if json.Unmarshal(b, &keys) != nil {
		return nil, false
	}
	for i, key := range keys {
		keys[i] = DigestOf([]byte(key)).String()
	}
	out, err := json.Marshal(keys)
	return out, err == nil
}

// withoutKeys puts digests in the place of the keys of a document.
func (f fields) withoutKeys() (fields, bool) {
	raw, ok := f[tenantsField]
	if !ok {
		return f, true
	}
	var tenants []fields
	if json.Unmarshal(raw, &tenants) != nil {
		return nil, false
	}
	for _, t := range tenants {
		for name, b := range t {
			// as the decoder of JSON, which doesn't mind the case
			if !strings.EqualFold(name, credentialsField) {
				continue
			}
			digests, ok := digestsOf(b)
			if !ok {
				return nil, false
			}
			t[name] = digests
		}
	}
	b, err := json.Marshal(tenants)
	if err != nil {
		return nil, false
	}
	out := maps.Clone(f)
	out[tenantsField] = b
	return out, true
}

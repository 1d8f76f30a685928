package jobs

import (
	"fmt"
	"math"
	"slices"

	"laburnumdock/internal/core/fault"
)

// KeyDigestSize is the length of a KeyDigest in bytes.
const KeyDigestSize = 32

// KeyDigest is the SHA-256 digest of an API key. The records hold no key in plain form,
// except inside the document that operators read back. A digest is as secret as its key:
// it appears in no log, metric or error.
type KeyDigest [KeyDigestSize]byte

// hiddenDigest is the text of every digest.
const hiddenDigest = "(hidden)"

// Format implements fmt.Formatter, so that no verb shows the digest.
func (KeyDigest) Format(f fmt.State, _ rune) {
	// An error of the writer is that of the whole text.
	_, _ = f.Write([]byte(hiddenDigest))
}

// MarshalJSON implements json.Marshaler, so that no readable output shows the digest.
func (KeyDigest) MarshalJSON() ([]byte, error) { return []byte(`"` + hiddenDigest + `"`), nil }

// Tenancy is the set of tenants of a configuration. Where a configuration has one, calls to
// queues that are not public need the key of a tenant.
type Tenancy struct {
	Tenants []Tenant `cbor:"1,keyasint"`
}

// Tenant is a customer of the operators whose jobs share pools with those of others.
type Tenant struct {
	Name string `cbor:"1,keyasint"`
	// Keys are the digests of the valid API keys. A retired tenant has none.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Weight is the tenant's share when all capacity is in use, relative to the weights of
	// the others, and the number of jobs per second that it has a claim to. 0 counts as 1.
	Weight float64 `cbor:"3,keyasint,omitempty"`
	// MaxRunning is the most that the tenant's runs may use over all executors. A field that
	// is 0 has no limit.
	MaxRunning Resources `cbor:"4,keyasint,omitempty"`
	// Retired is set if the newest configuration lacks the tenant, and its last definition is
	// only kept for its accepted jobs. A configured tenant may have no keys, too.
	Retired bool `cbor:"5,keyasint,omitempty"`
}

// TenantByKey returns the tenant with the key, or nil.
func (t *Tenancy) TenantByKey(key KeyDigest) *Tenant {
	for i := range t.Tenants {
		if slices.Contains(t.Tenants[i].Keys, key) {
			return &t.Tenants[i]
		}
	}
	return nil
}

// Tenant returns the tenant with the name, or nil.
func (t *Tenancy) Tenant(name string) *Tenant {
	for i := range t.Tenants {
		if t.Tenants[i].Name == name {
			return &t.Tenants[i]
		}
	}
	return nil
}

// check returns the reason to reject the tenants, or nil. The reason names tenants, and no
// keys or digests.
func (t *Tenancy) check() *fault.Error {
	names := make(map[string]bool, len(t.Tenants))
	owners := map[KeyDigest]string{}
	for i := range t.Tenants {
		tenant := &t.Tenants[i]
		if tenant.Name == "" || names[tenant.Name] {
			return fault.InvalidField("tenants", "unique names", "tenant %d of the list, %.40q, has no name of its own", i+1, tenant.Name)
		}
		names[tenant.Name] = true
		if err := tenant.check(); err != nil {
			return err
		}
		for _, key := range tenant.Keys {
			if owner, ok := owners[key]; ok && owner != tenant.Name {
				return fault.InvalidField("tenants", "keys of one tenant each", "tenants %.40q and %.40q share a key", owner, tenant.Name)
			}
			owners[key] = tenant.Name
		}
	}
	return nil
}

func (t *Tenant) check() *fault.Error {
	limit := t.MaxRunning
	switch {
	case math.IsNaN(t.Weight) || math.IsInf(t.Weight, 0) || t.Weight < 0:
		return fault.InvalidField("tenants.weight", "a number from 0", "the weight of tenant %.40q is %g", t.Name, t.Weight)
	case limit.CPU < 0 || limit.MemoryMB < 0 || limit.Accelerators < 0:
		return fault.InvalidField("tenants.maxRunning", "numbers from 0", "a limit of tenant %.40q is negative", t.Name)
	}
	return nil
}

// RetainingTenants returns the configuration with the named tenants added that it lacks.
// Their definition is that of the earlier configuration, which may be nil, without keys. A
// configuration without a Tenancy stays without one, because calls would need keys then.
func (c *Config) RetainingTenants(earlier *Config, needed map[string]bool) *Config {
	if c.Tenancy == nil || earlier == nil || earlier.Tenancy == nil {
		return c
	}
	next := *c
	next.Tenancy = &Tenancy{Tenants: slices.Clone(c.Tenancy.Tenants)}
	for _, t := range earlier.Tenancy.Tenants {
		if needed[t.Name] && c.Tenancy.Tenant(t.Name) == nil {
			t.Keys, t.Retired = nil, true
			next.Tenancy.Tenants = append(next.Tenancy.Tenants, t)
		}
	}
	return &next
}

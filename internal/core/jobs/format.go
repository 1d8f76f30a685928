package jobs

import "laburnumdock/internal/core/fault"

// A format is a number for the set of fields that stored records may have. Decoders refuse
// unknown fields, and a replica that cannot decode an entry of its log stops. So the records
// hold the format in use, and a field of a newer one is stored only after SetFormat, which
// the leader records once all voters have confirmed that they read it.
const (
	// FirstFormat is the format of records that name none: all fields up to commit 5824395.
	FirstFormat = 1
	// tenantsFormat adds Config.Tenancy, Queue.Public, AcceptJob.Tenant and Job.Tenant.
	tenantsFormat = 2
	// NewestFormat is the newest format that this program reads. It reads all earlier ones.
	NewestFormat = tenantsFormat
)

// SetFormat raises the format in use. It has no effect if that is as high already.
type SetFormat struct {
	Format int `cbor:"1,keyasint"`
}

// Format returns the format in use.
func (s *State) Format() int { return max(s.format, FirstFormat) }

func (s *State) setFormat(f *SetFormat) *fault.Error {
	s.format = max(s.format, f.Format)
	return nil
}

// Format returns the format that records need to store the configuration.
func (c *Config) Format() int {
	if c.Tenancy != nil {
		return tenantsFormat
	}
	for i := range c.Queues {
		if c.Queues[i].Public {
			return tenantsFormat
		}
	}
	return FirstFormat
}

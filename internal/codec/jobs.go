package codec

import (
	"github.com/rotisserie/eris"

	"laburnumdock/internal/core/jobs"
)

// JobsValue is the set of types of package jobs that are encoded on their own.
type JobsValue interface {
	jobs.Spec | jobs.Config | jobs.Wave
}

// EncodeJobsValue encodes a value of package jobs.
func EncodeJobsValue[T JobsValue](v *T) ([]byte, error) {
	data, err := encMode.Marshal(v)
	return data, eris.Wrap(err, "encode a value of the records of jobs")
}

// Limits of the lists of values. A value comes from another process, and an empty element
// of one byte may take hundreds once it is decoded.
const (
	// maxConfigElements bounds the queues, the pools, the tenants and the keys of a tenant,
	// and maxWaveElements the hosts of a wave, of which a fleet may have 16,000.
	maxConfigElements = 20_000
	maxWaveElements   = 100_000
	// leastConfigBytes is the least size of a queue, a pool or a tenant.
	leastConfigBytes = 16
)

// maxElements returns the largest length of a list in an encoded value.
func maxElements[T JobsValue](data []byte) int {
	switch any((*T)(nil)).(type) {
	case *jobs.Spec:
		return jobs.MaxSteps
	case *jobs.Config:
		return min(jobs.MaxSteps+len(data)/leastConfigBytes, maxConfigElements)
	default:
		return maxWaveElements
	}
}

// DecodeJobsValue decodes the result of EncodeJobsValue.
func DecodeJobsValue[T JobsValue](data []byte) (*T, error) {
	mode, err := newDecMode(maxElements[T](data))
	if err != nil {
		return nil, eris.Wrap(err, "decode a value of the records of jobs")
	}
	v := new(T)
	if err := mode.Unmarshal(data, v); err != nil {
		return nil, eris.Wrap(err, "decode a value of the records of jobs")
	}
	return v, nil
}

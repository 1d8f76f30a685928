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

// DecodeJobsValue decodes the result of EncodeJobsValue.
func DecodeJobsValue[T JobsValue](data []byte) (*T, error) {
	v := new(T)
	if err := decMode.Unmarshal(data, v); err != nil {
		return nil, eris.Wrap(err, "decode a value of the records of jobs")
	}
	return v, nil
}

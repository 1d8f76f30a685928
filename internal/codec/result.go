package codec

import (
	"github.com/rotisserie/eris"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// storedResult is the stored form of state.Result. Object is empty if the result
// has no resource.
type storedResult struct {
	Version  uint64
	Kind     model.Kind
	Name     string
	Object   []byte
	Err      *fault.Error
	Requests []state.RequestResult
	Replayed bool
}

// EncodeResult encodes the result of a command.
func EncodeResult(r state.Result) ([]byte, error) {
	s := storedResult{Version: r.Version, Kind: r.Key.Kind, Name: r.Key.Name, Err: r.Err, Requests: r.Requests, Replayed: r.Replayed}
	if r.Object != nil {
		data, err := EncodeObject(r.Object)
		if err != nil {
			return nil, err
		}
		s.Object = data
	}
	data, err := encMode.Marshal(s)
	return data, eris.Wrap(err, "encode result")
}

// DecodeResult decodes the result of EncodeResult.
func DecodeResult(data []byte) (state.Result, error) {
	var s storedResult
	if err := decMode.Unmarshal(data, &s); err != nil {
		return state.Result{}, eris.Wrap(err, "decode result")
	}
	r := state.Result{Version: s.Version, Key: model.Key{Kind: s.Kind, Name: s.Name}, Err: s.Err, Requests: s.Requests, Replayed: s.Replayed}
	if len(s.Object) == 0 {
		return r, nil
	}
	obj, err := DecodeObject(s.Object)
	r.Object = obj
	return r, err
}

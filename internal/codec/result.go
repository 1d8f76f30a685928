package codec

import (
	"github.com/rotisserie/eris"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/state"
)

// storedResult is state.Result with its resource in the stored form.
type storedResult struct {
	Version  uint64                `cbor:"1,keyasint,omitempty"`
	Object   []byte                `cbor:"2,keyasint,omitempty"`
	Err      *fault.Error          `cbor:"3,keyasint,omitempty"`
	Requests []state.RequestResult `cbor:"4,keyasint,omitempty"`
	Replayed bool                  `cbor:"5,keyasint,omitempty"`
}

// EncodeResult returns the stored form of the result of a command.
func EncodeResult(res state.Result) ([]byte, error) {
	stored, err := storeResult(res)
	if err != nil {
		return nil, err
	}
	data, err := encMode.Marshal(stored)
	if err != nil {
		return nil, eris.Wrap(err, "encode a result")
	}
	return data, nil
}

// DecodeResult is the inverse of EncodeResult.
func DecodeResult(data []byte) (state.Result, error) {
	var stored storedResult
	if err := decMode.Unmarshal(data, &stored); err != nil {
		return state.Result{}, eris.Wrap(err, "decode a result")
	}
	return stored.result()
}

func storeResult(res state.Result) (storedResult, error) {
	stored := storedResult{Version: res.Version, Err: res.Err, Requests: res.Requests, Replayed: res.Replayed}
	if res.Object == nil {
		return stored, nil
	}
	var err error
	stored.Object, err = EncodeObject(res.Object)
	return stored, err
}

func (s storedResult) result() (state.Result, error) {
	res := state.Result{Version: s.Version, Err: s.Err, Requests: s.Requests, Replayed: s.Replayed}
	if len(s.Object) == 0 {
		return res, nil
	}
	var err error
	res.Object, err = DecodeObject(s.Object)
	return res, err
}

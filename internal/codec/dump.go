package codec

import (
	"time"

	"github.com/rotisserie/eris"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// storedDump is state.Dump with its resources in the stored form.
type storedDump struct {
	Version   uint64
	Now       time.Time
	Objects   [][]byte
	Events    []storedEvent
	Compacted uint64
	Changes   []storedChange
	Horizon   time.Time
	Audit     []state.AuditEntry
}

type storedEvent struct {
	Version uint64
	Key     model.Key
	Object  []byte
}

type storedChange struct {
	ID       string
	IssuedAt time.Time
	Result   storedResult
}

// EncodeDump returns the stored form of a whole state.
func EncodeDump(d *state.Dump) ([]byte, error) {
	stored := storedDump{Version: d.Version, Now: d.Now, Compacted: d.Compacted, Horizon: d.Horizon, Audit: d.Audit}
	var err error
	if stored.Objects, err = encodeObjects(d.Objects); err != nil {
		return nil, err
	}
	for _, e := range d.Events {
		event := storedEvent{Version: e.Version, Key: e.Key}
		if e.Object != nil {
			if event.Object, err = EncodeObject(e.Object); err != nil {
				return nil, err
			}
		}
		stored.Events = append(stored.Events, event)
	}
	for _, c := range d.Changes {
		change := storedChange{ID: c.ID, IssuedAt: c.IssuedAt}
		if change.Result, err = storeResult(c.Result); err != nil {
			return nil, err
		}
		stored.Changes = append(stored.Changes, change)
	}
	data, err := encMode.Marshal(stored)
	if err != nil {
		return nil, eris.Wrap(err, "encode a dump")
	}
	return data, nil
}

// DecodeDump is the inverse of EncodeDump.
func DecodeDump(data []byte) (*state.Dump, error) {
	var stored storedDump
	if err := decMode.Unmarshal(data, &stored); err != nil {
		return nil, eris.Wrap(err, "decode a dump")
	}
	d := &state.Dump{Version: stored.Version, Now: stored.Now, Compacted: stored.Compacted, Horizon: stored.Horizon, Audit: stored.Audit}
	for _, object := range stored.Objects {
		obj, err := DecodeObject(object)
		if err != nil {
			return nil, err
		}
		d.Objects = append(d.Objects, obj)
	}
	for _, e := range stored.Events {
		event := state.Event{Version: e.Version, Key: e.Key}
		if len(e.Object) > 0 {
			var err error
			if event.Object, err = DecodeObject(e.Object); err != nil {
				return nil, err
			}
		}
		d.Events = append(d.Events, event)
	}
	for _, c := range stored.Changes {
		res, err := c.Result.result()
		if err != nil {
			return nil, err
		}
		d.Changes = append(d.Changes, state.DumpedChange{ID: c.ID, IssuedAt: c.IssuedAt, Result: res})
	}
	return d, nil
}

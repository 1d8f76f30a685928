package codec

import (
	"time"

	"github.com/rotisserie/eris"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// dumpFormat is the version of the encoding of a dump. It is incremented by any
// change of a stored type that older builds cannot decode, except for new fields of the job
// records: jobs.State.Format governs those.
const dumpFormat = 1

// storedDump is the stored form of state.Dump. Element types that occur in large
// numbers are encoded as arrays, without field names.
type storedDump struct {
	Format        int                   `cbor:"format"`
	Version       uint64                `cbor:"version"`
	Now           time.Time             `cbor:"now"`
	Objects       []storedObject        `cbor:"objects"`
	Audit         []storedAudit         `cbor:"audit"`
	Changes       []storedChange        `cbor:"changes"`
	ChangeHorizon int64                 `cbor:"changeHorizon"`
	Requests      []state.RequestRecord `cbor:"requests"`
	PoolChanges   []storedPoolChange    `cbor:"poolChanges,omitempty"`
	Jobs          *jobs.Dump            `cbor:"jobs,omitempty"`
}

// storedObject is an encoded resource with its kind. Without an envelope, its
// bytes are decoded only once.
type storedObject struct {
	_    struct{} `cbor:",toarray"`
	Kind model.Kind
	Body []byte
}

type storedAudit struct {
	_          struct{} `cbor:",toarray"`
	Version    uint64
	Time       time.Time
	Actor      string
	Source     string
	Action     string
	Kind       model.Kind
	Name       string
	OldVersion uint64
	NewVersion uint64
	Outcome    string
	ChangeID   string
}

type storedChange struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Issued  int64
	Digest  uint64
	Version uint64
	Err     *fault.Error
}

type storedPoolChange struct {
	_       struct{} `cbor:",toarray"`
	Pool    string
	Version uint64
}

// EncodeDump encodes a dump of the whole state.
func EncodeDump(d *state.Dump) ([]byte, error) {
	s := storedDump{
		Format: dumpFormat, Version: d.Version, Now: d.Now, ChangeHorizon: d.ChangeHorizon, Requests: d.Requests, Jobs: d.Jobs,
		Objects: make([]storedObject, 0, len(d.Objects)),
		Audit:   make([]storedAudit, 0, len(d.Audit)),
		Changes: make([]storedChange, 0, len(d.Changes)),
	}
	for _, obj := range d.Objects {
		body, err := encMode.Marshal(obj)
		if err != nil {
			return nil, eris.Wrapf(err, "encode %s %s", obj.Metadata().Kind, obj.Metadata().Name)
		}
		s.Objects = append(s.Objects, storedObject{Kind: obj.Metadata().Kind, Body: body})
	}
	for _, a := range d.Audit {
		s.Audit = append(s.Audit, storedAudit{
			Version: a.Version, Time: a.Time, Actor: a.Actor, Source: a.Source, Action: a.Action, Kind: a.Kind, Name: a.Name,
			OldVersion: a.OldVersion, NewVersion: a.NewVersion, Outcome: a.Outcome, ChangeID: a.ChangeID,
		})
	}
	for _, c := range d.Changes {
		s.Changes = append(s.Changes, storedChange{ID: c.ID, Issued: c.Issued, Digest: c.Digest, Version: c.Version, Err: c.Err})
	}
	for _, c := range d.PoolChanges {
		s.PoolChanges = append(s.PoolChanges, storedPoolChange{Pool: c.Pool, Version: c.Version})
	}
	data, err := encMode.Marshal(s)
	return data, eris.Wrap(err, "encode dump")
}

// DecodeDump decodes the result of EncodeDump.
func DecodeDump(data []byte) (*state.Dump, error) {
	var s storedDump
	if err := decMode.Unmarshal(data, &s); err != nil {
		return nil, eris.Wrap(err, "decode dump")
	}
	if s.Format != dumpFormat {
		return nil, eris.Errorf("unsupported dump format %d, want %d", s.Format, dumpFormat)
	}
	d := &state.Dump{
		Version: s.Version, Now: s.Now.UTC(), ChangeHorizon: s.ChangeHorizon, Requests: s.Requests, Jobs: s.Jobs,
		Audit:   make([]state.AuditEntry, 0, len(s.Audit)),
		Changes: make([]state.ChangeRecord, 0, len(s.Changes)),
	}
	var err error
	if d.Objects, err = decodeDumpObjects(s.Objects); err != nil {
		return nil, err
	}
	for _, a := range s.Audit {
		d.Audit = append(d.Audit, state.AuditEntry{
			Version: a.Version, Time: a.Time.UTC(), Actor: a.Actor, Source: a.Source, Action: a.Action, Kind: a.Kind, Name: a.Name,
			OldVersion: a.OldVersion, NewVersion: a.NewVersion, Outcome: a.Outcome, ChangeID: a.ChangeID,
		})
	}
	for _, c := range s.Changes {
		d.Changes = append(d.Changes, state.ChangeRecord{ID: c.ID, Issued: c.Issued, Digest: c.Digest, Version: c.Version, Err: c.Err})
	}
	for _, c := range s.PoolChanges {
		d.PoolChanges = append(d.PoolChanges, state.PoolChange{Pool: c.Pool, Version: c.Version})
	}
	return d, nil
}

func decodeDumpObjects(stored []storedObject) ([]model.Object, error) {
	list := make([]model.Object, 0, len(stored))
	for _, s := range stored {
		obj := model.New(s.Kind)
		if obj == nil {
			return nil, eris.Errorf("unknown resource kind %q", s.Kind)
		}
		if err := decMode.Unmarshal(s.Body, obj); err != nil {
			return nil, eris.Wrapf(err, "decode %s", s.Kind)
		}
		if err := checkKind(obj, s.Kind); err != nil {
			return nil, err
		}
		list = append(list, obj)
	}
	return list, nil
}

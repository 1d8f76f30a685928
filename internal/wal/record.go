package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"laburnumdock/internal/core/raft"
)

// A frame is a record preceded by its length, a checksum of the length and a
// checksum of its content. The length has its own checksum because a corrupt length
// would otherwise look like a torn last record, and acknowledged records after it
// would be truncated.
const (
	// frameBytes is the size of a frame without its record.
	frameBytes = 12
	// maxRecordBytes is the largest length that a frame may have.
	maxRecordBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one synced batch, the header of a segment or the seal at its end.
type record struct {
	Header    *segmentHeader  `cbor:"1,keyasint,omitempty"`
	HardState *raft.HardState `cbor:"2,keyasint,omitempty"`
	Entries   []storedEntry   `cbor:"3,keyasint,omitempty"`
	// Sealed is set in the last record of a segment that another one follows.
	Sealed bool `cbor:"4,keyasint,omitempty"`
}

// storedEntry is an entry that is encoded as an array, without field names.
type storedEntry struct {
	_      struct{} `cbor:",toarray"`
	Index  uint64
	Term   uint64
	Kind   raft.EntryKind
	Data   []byte
	Change *raft.MemberChange
}

func toStoredEntries(entries []raft.Entry) []storedEntry {
	list := make([]storedEntry, len(entries))
	for i, e := range entries {
		list[i] = storedEntry{Index: e.Index, Term: e.Term, Kind: e.Kind, Data: e.Data}
		if e.Kind == raft.EntryMember {
			list[i].Change = &e.Change
		}
	}
	return list
}

func (s storedEntry) entry() raft.Entry {
	e := raft.Entry{Index: s.Index, Term: s.Term, Kind: s.Kind, Data: s.Data}
	if s.Change != nil {
		e.Change = *s.Change
	}
	return e
}

// segmentHeader is the first record of a segment.
type segmentHeader struct {
	Version  int
	Identity Identity
	Sequence uint64
	// PrevIndex and PrevTerm identify the last entry before the segment.
	PrevIndex uint64
	PrevTerm  uint64
	// Reset is set when a snapshot replaced all entries before the segment.
	Reset bool
}

// snapshotHeader is the first record of a snapshot file. The second record is the
// snapshot data.
type snapshotHeader struct {
	Version  int
	Identity Identity
	Meta     raft.SnapshotMeta
}

// formatVersion is the version of the file formats.
const formatVersion = 1

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxArrayElements: 10_000_000}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// frame returns payload in a frame.
func frame(payload []byte) []byte {
	out := make([]byte, frameBytes, frameBytes+len(payload))
	binary.LittleEndian.PutUint32(out[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(out[:4], castagnoli))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(payload, castagnoli))
	return append(out, payload...)
}

func encodeFrame(v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return frame(payload), nil
}

// frameState is the state of the frame at the start of some data.
type frameState int

const (
	frameValid frameState = iota
	// frameIncomplete is a frame that ends after the data, or whose header does.
	frameIncomplete
	// frameBadLength is a frame with a wrong checksum of the length, or a length
	// out of range.
	frameBadLength
	// frameBadContent is a complete frame with a wrong checksum of the content.
	frameBadContent
)

// nextFrame returns the record of the first frame of data. size is the size of the
// whole frame, or 0 if its length is missing or invalid.
func nextFrame(data []byte) (payload []byte, size int, state frameState) {
	if len(data) < frameBytes {
		return nil, 0, frameIncomplete
	}
	if crc32.Checksum(data[:4], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, frameBadLength
	}
	length := binary.LittleEndian.Uint32(data)
	if length == 0 || length > maxRecordBytes {
		return nil, 0, frameBadLength
	}
	size = frameBytes + int(length)
	if size > len(data) {
		return nil, size, frameIncomplete
	}
	payload = data[frameBytes:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, size, frameBadContent
	}
	return payload, size, frameValid
}

// isTorn reports whether the invalid record at the start of data can only be the
// last write, which was never acknowledged, because no valid record follows. Each
// record is synced before the next is written, so an invalid record before a valid
// one is corruption of acknowledged data.
func isTorn(data []byte) bool {
	_, size, state := nextFrame(data)
	if state == frameBadContent && size < len(data) {
		return false
	}
	for at := 1; at+frameBytes < len(data); at++ {
		if _, _, state := nextFrame(data[at:]); state == frameValid {
			return false
		}
	}
	return true
}

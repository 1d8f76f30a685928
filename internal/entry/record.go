package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"strconv"
	"time"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
)

// record is one phase of a request that must not be repeated, on its way to
// the control replicas. The goroutine of the recorder owns it.
type record struct {
	// exchange is nil for a record whose result nobody waits for.
	exchange *exchange
	phase    dispatch.RecordPhase
	proto    *pb.RequestRecord
	giveUp   time.Time
	// uncertain is set once a try may have taken effect without an answer.
	uncertain bool
}

func newRecord(x *exchange, phase dispatch.RecordPhase, res *response) *record {
	rec := &record{exchange: x, phase: phase, giveUp: x.request.Deadline, proto: &pb.RequestRecord{
		RequestId: x.request.RequestID, Phase: phaseToProto(phase), Caller: x.request.Caller,
		Service: x.request.Service, EntryHost: x.entryHost, Token: x.token, Digest: x.digest,
	}}
	if phase != dispatch.RecordBegin {
		rec.giveUp = time.Now().Add(finishWindow)
	}
	if res != nil {
		rec.proto.Status = uint32(res.status)
		rec.proto.ContentType = res.header.Get("Content-Type")
		rec.proto.AnswerDropped = len(res.body) > maxKeptAnswer
		if !rec.proto.AnswerDropped {
			rec.proto.Body = res.body
		}
	}
	return rec
}

// release returns the record that frees the ID of a begin that was given up.
func (rec *record) release() *record {
	return &record{
		phase: dispatch.RecordDidNotRun, giveUp: time.Now().Add(releaseWindow),
		proto: &pb.RequestRecord{
			RequestId: rec.proto.GetRequestId(), Phase: pb.RequestPhase_REQUEST_PHASE_DID_NOT_RUN, Caller: rec.proto.GetCaller(),
			Service: rec.proto.GetService(), EntryHost: rec.proto.GetEntryHost(), Token: rec.proto.GetToken(), Digest: rec.proto.GetDigest(),
		},
	}
}

func (rec *record) size() int { return len(rec.proto.GetBody()) + recordOverhead }

const (
	// recordOverhead is about the size of a record without its body.
	recordOverhead = 256
	// maxKeptAnswer is the largest answer that the control replicas keep.
	maxKeptAnswer = 64 << 10
)

// result turns the answer of the control replicas into an event. A begin was
// taken only if the replicas say so of this very request: the token names the
// incarnation of the entry host and the request, so neither another entry host
// nor another request with the same ID passes for it.
func (rec *record) result(result *pb.RequestResult, err *fault.Error) (dispatch.Recorded, *response) {
	event := dispatch.Recorded{Phase: rec.phase, Err: err}
	if rec.exchange != nil {
		event.ID = rec.exchange.request.ID
	}
	if err != nil {
		return event, nil
	}
	kind := fault.Kind(result.GetErrorKind())
	known := result.GetRecorded()
	if rec.phase != dispatch.RecordBegin || known == nil {
		if kind != "" {
			event.Err = fault.New(kind, "control replicas refused the record of request %s", rec.proto.GetRequestId())
		}
		return event, nil
	}
	own := known.GetEntryHost() == rec.proto.GetEntryHost() && known.GetToken() == rec.proto.GetToken()
	if own && known.GetPhase() == pb.RequestPhase_REQUEST_PHASE_BEGIN && (kind == "" || kind == fault.InProgress) {
		return event, nil
	}
	if kind == "" {
		kind = fault.InProgress
	}
	event.KnownPhase = phaseFromProto(known.GetPhase())
	event.Err = fault.New(kind, "request %s is known already", rec.proto.GetRequestId())
	if event.KnownPhase != dispatch.RecordFinished || known.GetAnswerDropped() {
		return event, nil
	}
	res := &response{status: int(known.GetStatus()), header: make(http.Header), body: known.GetBody()}
	if known.GetContentType() != "" {
		res.header.Set("Content-Type", known.GetContentType())
	}
	return event, res
}

func phaseToProto(phase dispatch.RecordPhase) pb.RequestPhase {
	switch phase {
	case dispatch.RecordBegin:
		return pb.RequestPhase_REQUEST_PHASE_BEGIN
	case dispatch.RecordFinished:
		return pb.RequestPhase_REQUEST_PHASE_FINISHED
	case dispatch.RecordDidNotRun:
		return pb.RequestPhase_REQUEST_PHASE_DID_NOT_RUN
	case dispatch.RecordUnknown:
		return pb.RequestPhase_REQUEST_PHASE_UNKNOWN
	}
	return pb.RequestPhase_REQUEST_PHASE_UNSPECIFIED
}

func phaseFromProto(phase pb.RequestPhase) dispatch.RecordPhase {
	switch phase {
	case pb.RequestPhase_REQUEST_PHASE_BEGIN:
		return dispatch.RecordBegin
	case pb.RequestPhase_REQUEST_PHASE_FINISHED:
		return dispatch.RecordFinished
	case pb.RequestPhase_REQUEST_PHASE_DID_NOT_RUN:
		return dispatch.RecordDidNotRun
	default:
		return dispatch.RecordUnknown
	}
}

// digest identifies the content of a request: the same ID with another digest
// is another request. Each part has its length in front, so that no two
// different requests have the same input.
func digest(x *exchange) []byte {
	h := sha256.New()
	part := func(data []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(data)))
		h.Write(length[:])
		h.Write(data)
	}
	part([]byte(x.method))
	part([]byte(x.request.Service))
	part([]byte(x.path))
	part([]byte(x.query))
	part([]byte(x.header.Get("Content-Type")))
	part(x.body)
	return h.Sum(nil)
}

// token names one request of one incarnation of this entry host.
func (h *Host) token(id uint64) string {
	return strconv.FormatUint(h.incarnation, 36) + "-" + strconv.FormatUint(id, 10)
}

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

// record is a phase of a request that must not be repeated, to be stored by the control
// replicas. The goroutine of the recorder owns it.
type record struct {
	// request is nil if no request waits for the result.
	request *openRequest
	phase   dispatch.RecordPhase
	proto   *pb.RequestRecord
	// retryUntil is when a failed record is given up.
	retryUntil time.Time
	// mayHaveApplied is set once a failed call may have stored the record.
	mayHaveApplied bool
}

func newRecord(req *openRequest, phase dispatch.RecordPhase, res *response) *record {
	rec := &record{request: req, phase: phase, retryUntil: req.attributes.Deadline, proto: &pb.RequestRecord{
		RequestId: req.attributes.RequestID, Phase: phaseToWire(phase), Caller: req.attributes.Caller,
		Service: req.attributes.Service, EntryHost: req.entryHost, Token: req.token, Digest: req.digest,
	}}
	if phase != dispatch.RecordBegin {
		rec.retryUntil = time.Now().Add(finishRetryWindow)
	}
	if res != nil {
		rec.proto.Status = uint32(res.status)
		rec.proto.ContentType = res.header.Get("Content-Type")
		rec.proto.AnswerDropped = len(res.body) > maxStoredAnswerBytes
		if !rec.proto.AnswerDropped {
			rec.proto.Body = res.body
		}
	}
	return rec
}

// newRelease returns the record that frees the request ID of an abandoned begin.
func (rec *record) newRelease() *record {
	return &record{
		phase: dispatch.RecordDidNotRun, retryUntil: time.Now().Add(releaseRetryWindow),
		proto: &pb.RequestRecord{
			RequestId: rec.proto.GetRequestId(), Phase: pb.RequestPhase_REQUEST_PHASE_DID_NOT_RUN, Caller: rec.proto.GetCaller(),
			Service: rec.proto.GetService(), EntryHost: rec.proto.GetEntryHost(), Token: rec.proto.GetToken(), Digest: rec.proto.GetDigest(),
		},
	}
}

// size returns the approximate encoded size of the record in bytes.
func (rec *record) size() int { return len(rec.proto.GetBody()) + recordOverhead }

const (
	// recordOverhead is the approximate size in bytes of a record without its body.
	recordOverhead = 256
	// maxStoredAnswerBytes is the size of the largest answer that the control replicas
	// store.
	maxStoredAnswerBytes = 64 << 10
)

// toEvent converts the result of the control replicas to an event, and returns the
// recorded answer of an earlier send if there is one. A begin is accepted only if the
// replicas return the record of this very request: its token contains the incarnation
// of the entry host and the number of the request, so that neither another entry host
// nor another request with the same ID matches.
func (rec *record) toEvent(result *pb.RequestResult, err *fault.Error) (dispatch.Recorded, *response) {
	event := dispatch.Recorded{Phase: rec.phase, Err: err}
	if rec.request != nil {
		event.ID = rec.request.attributes.ID
	}
	if err != nil {
		return event, nil
	}
	kind := fault.Kind(result.GetErrorKind())
	recorded := result.GetRecorded()
	if rec.phase != dispatch.RecordBegin || recorded == nil {
		if kind != "" {
			event.Err = fault.New(kind, "control replicas refused the record of request %s", rec.proto.GetRequestId())
		}
		return event, nil
	}
	own := recorded.GetEntryHost() == rec.proto.GetEntryHost() && recorded.GetToken() == rec.proto.GetToken()
	if own && recorded.GetPhase() == pb.RequestPhase_REQUEST_PHASE_BEGIN && (kind == "" || kind == fault.InProgress) {
		return event, nil
	}
	if kind == "" {
		kind = fault.InProgress
	}
	event.KnownPhase = phaseFromWire(recorded.GetPhase())
	event.Err = fault.New(kind, "request %s is already recorded", rec.proto.GetRequestId())
	if event.KnownPhase != dispatch.RecordFinished || recorded.GetAnswerDropped() {
		return event, nil
	}
	res := &response{status: int(recorded.GetStatus()), header: make(http.Header), body: recorded.GetBody()}
	if recorded.GetContentType() != "" {
		res.header.Set("Content-Type", recorded.GetContentType())
	}
	return event, res
}

func phaseToWire(phase dispatch.RecordPhase) pb.RequestPhase {
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

func phaseFromWire(phase pb.RequestPhase) dispatch.RecordPhase {
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

// digest returns a hash of the content of a request. The same ID with another digest is
// another request. Each part is prefixed with its length, so that two different requests
// never have the same hash input.
func digest(req *openRequest) []byte {
	h := sha256.New()
	part := func(data []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(data)))
		h.Write(length[:])
		h.Write(data)
	}
	part([]byte(req.method))
	part([]byte(req.attributes.Service))
	part([]byte(req.path))
	part([]byte(req.query))
	part([]byte(req.header.Get("Content-Type")))
	part(req.body)
	return h.Sum(nil)
}

// token returns an identifier of a request that is unique over the incarnations of this
// entry host.
func (h *Host) token(id uint64) string {
	return strconv.FormatUint(h.incarnation, 36) + "-" + strconv.FormatUint(id, 10)
}

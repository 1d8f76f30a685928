package control

import (
	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/state"
)

var phaseFromWire = map[pb.RequestPhase]state.RequestPhase{
	pb.RequestPhase_REQUEST_PHASE_BEGIN:       state.RequestBegun,
	pb.RequestPhase_REQUEST_PHASE_FINISHED:    state.RequestFinished,
	pb.RequestPhase_REQUEST_PHASE_DID_NOT_RUN: state.RequestDidNotRun,
	pb.RequestPhase_REQUEST_PHASE_UNKNOWN:     state.RequestUnknown,
}

func recordFromWire(rec *pb.RequestRecord) (state.RequestRecord, error) {
	phase, ok := phaseFromWire[rec.GetPhase()]
	if !ok {
		return state.RequestRecord{}, fault.InvalidField("phase", "begin, finished, did_not_run or unknown", "phase is %s", rec.GetPhase())
	}
	expires, err := requestExpiry(rec.GetRequestId())
	if err != nil {
		return state.RequestRecord{}, err
	}
	return state.RequestRecord{
		ID: rec.GetRequestId(), Phase: phase, Caller: rec.GetCaller(), Service: rec.GetService(), EntryHost: rec.GetEntryHost(),
		Digest: rec.GetDigest(), Status: int(rec.GetStatus()), ContentType: rec.GetContentType(), Body: rec.GetBody(),
		AnswerDropped: rec.GetAnswerDropped(), Token: rec.GetToken(), Expires: expires,
	}, nil
}

func recordToWire(rec *state.RequestRecord) *pb.RequestRecord {
	if rec == nil {
		return nil
	}
	out := &pb.RequestRecord{
		RequestId: rec.ID, Caller: rec.Caller, Service: rec.Service, EntryHost: rec.EntryHost,
		Digest: rec.Digest, Status: uint32(rec.Status), ContentType: rec.ContentType, Body: rec.Body,
		AnswerDropped: rec.AnswerDropped, Token: rec.Token,
	}
	for wire, phase := range phaseFromWire {
		if phase == rec.Phase {
			out.Phase = wire
		}
	}
	return out
}

func resultToWire(res state.RequestResult) *pb.RequestResult {
	out := &pb.RequestResult{RequestId: res.ID, Recorded: recordToWire(res.Recorded)}
	if res.Err != nil {
		out.ErrorKind = string(res.Err.Kind)
	}
	return out
}

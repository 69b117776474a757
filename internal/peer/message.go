package peer

import (
	"net/http"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// EncodeHeader returns the message of a header.
func EncodeHeader(h http.Header) []*wire.HeaderField {
	fields := make([]*wire.HeaderField, 0, len(h))
	for k, v := range h {
		fields = append(fields, &wire.HeaderField{Name: k, Values: v})
	}
	return fields
}

// DecodeHeader returns the header of a message.
func DecodeHeader(fields []*wire.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

// encodeRequest encodes a request. The deadline is sent as the remaining time, so
// that it does not depend on synchronized clocks.
func encodeRequest(request *bamboorail.Request, now time.Time) *wire.DispatchRequest {
	r := &wire.DispatchRequest{
		RequestId: request.RequestID, Target: request.Target, Term: request.Term, Caller: request.Caller,
		Weight: int32(request.Weight), Priority: int32(request.Priority), TimeoutMicros: request.Deadline.Sub(now).Microseconds(),
		Adapter: request.Model.Adapter(), Version: request.Model.Version(), Chat: request.Chat, Tokens: int32(request.Tokens),
		Service: request.Service, Method: request.Method, Path: request.Path, Header: EncodeHeader(request.Header),
		Repeatable: request.Repeatable, Body: request.Body, Zone: request.Zone, Forwarded: request.Forwarded,
		MaxAttempts: int32(request.MaxAttempts),
	}
	if !request.IssuedAt.IsZero() {
		r.IssuedUnixMilli = request.IssuedAt.UnixMilli()
	}
	return r
}

func decodeRequest(r *wire.DispatchRequest, now time.Time) *bamboorail.Request {
	request := &bamboorail.Request{
		RequestID: r.GetRequestId(), Target: r.GetTarget(), Term: r.GetTerm(), Caller: r.GetCaller(),
		Weight: int(r.GetWeight()), Priority: decodePriority(r.GetPriority()),
		Deadline: now.Add(time.Duration(r.GetTimeoutMicros()) * time.Microsecond),
		Chat:     r.GetChat(), Tokens: int(r.GetTokens()),
		Service: r.GetService(), Method: r.GetMethod(), Path: r.GetPath(), Header: DecodeHeader(r.GetHeader()),
		Repeatable: r.GetRepeatable(), Body: r.GetBody(), Zone: r.GetZone(), Forwarded: r.GetForwarded(),
		MaxAttempts: int(r.GetMaxAttempts()),
	}
	if r.GetAdapter() != "" {
		request.Model = bamboorail.NewModelRef(r.GetAdapter(), r.GetVersion())
	}
	if r.GetIssuedUnixMilli() != 0 {
		request.IssuedAt = time.UnixMilli(r.GetIssuedUnixMilli())
	}
	return request
}

// decodePriority decodes a priority class. Unknown classes of a newer peer map to the
// lowest.
func decodePriority(p int32) bamboorail.Priority {
	if p == int32(bamboorail.PriorityInteractive) {
		return bamboorail.PriorityInteractive
	}
	return bamboorail.PriorityBatch
}

func encodeHead(h bamboorail.ResponseHead) *wire.Head {
	return &wire.Head{
		Status: int32(h.Status), Header: EncodeHeader(h.Header), Target: h.Target,
		WaitedMicros: h.QueueWait.Microseconds(), LoadWaitMicros: h.LoadWait.Microseconds(),
	}
}

func decodeHead(h *wire.Head) bamboorail.ResponseHead {
	return bamboorail.ResponseHead{
		Status: int(h.GetStatus()), Header: DecodeHeader(h.GetHeader()), Target: h.GetTarget(),
		QueueWait: time.Duration(h.GetWaitedMicros()) * time.Microsecond,
		LoadWait:  time.Duration(h.GetLoadWaitMicros()) * time.Microsecond,
	}
}

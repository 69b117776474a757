package placer

import (
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/relay"
)

const (
	// maxWireTokens is the largest number of tokens that is read from a message. It is
	// far above what an engine can hold.
	maxWireTokens = 1 << 30
	// maxWireParts is the largest number of prompt parts that is read from a message; calls
	// have three or four.
	maxWireParts = 32
)

// statesWork reports whether requests to holders state the work of the calls of a route. It is needed
// only if the work at an engine makes streams late that run there.
func statesWork(r bamboorail.RouteSpec) bool { return r.MaxEventGap > 0 }

// addWork adds the work of a call to the request for its place.
func addWork(r *adapters.Request, a relay.ChooseRequest) {
	if !statesWork(a.Route) {
		return
	}
	r.Size, r.Prompt, r.MaxGap, r.Workspace = a.Call.Size, a.Call.Prompt, a.Route.MaxEventGap, a.Call.Workspace
}

// addWorkMessage adds the work of a call to the message to the holder of another instance.
func addWorkMessage(m *wire.PlaceRequest, a relay.ChooseRequest) {
	if !statesWork(a.Route) {
		return
	}
	m.Workspace, m.MaxGapMicros = callID(a.Call.Workspace), a.Route.MaxEventGap.Microseconds()
	m.PromptTokens, m.OutputTokens = int64(a.Call.Size.Prompt), int64(a.Call.Size.Output)
	for n, p := range a.Call.Prompt {
		part := &wire.PromptPart{Tokens: int64(p.Tokens)}
		if n < len(a.Call.Prompt)-1 {
			// The last part belongs to this call alone, so its name is of no use.
			part.Id = callID(p.ID)
		}
		m.Prompt = append(m.Prompt, part)
	}
}

// addWorkFromWire adds the work in a message to the request for a place.
func addWorkFromWire(r *adapters.Request, m *wire.PlaceRequest) {
	r.Workspace, r.MaxGap = m.GetWorkspace(), wireDuration(m.GetMaxGapMicros())
	r.Size = bamboorail.CallSize{Prompt: wireTokens(m.GetPromptTokens()), Output: wireTokens(m.GetOutputTokens())}
	if len(m.GetPrompt()) > maxWireParts {
		return
	}
	for _, p := range m.GetPrompt() {
		r.Prompt = append(r.Prompt, bamboorail.PromptPart{ID: p.GetId(), Tokens: wireTokens(p.GetTokens())})
	}
}

func wireTokens(n int64) int { return int(min(max(n, 0), maxWireTokens)) }

// maxWireDuration is far above the duration of any call.
const maxWireDuration = time.Hour

func wireDuration(micros int64) time.Duration {
	return time.Duration(min(max(micros, 0), maxWireDuration.Microseconds())) * time.Microsecond
}

// timingFromWire returns the times of the events in a message.
func timingFromWire(m *wire.EndedPlacement) adapters.Timing {
	return adapters.Timing{
		FirstEvent: wireDuration(m.GetFirstEventMicros()), Event: wireDuration(m.GetEventMicros()), LongestGap: wireDuration(m.GetLongestGapMicros()),
	}
}

// reservation returns the reservation for a call that the holder of a zone placed.
func (c *Chooser) reservation(zone string, a relay.ChooseRequest, p adapters.Placement) relay.Reservation {
	end := &EndedPlacement{Ticket: p.Ticket}
	r := relay.Reservation{
		Target: p.Target, Version: p.Version, ReadyAt: p.ReadyAt, BeginBy: c.beginBy(a.Call.Key, p.Version), Valid: c.valid(p.Target),
		Done: c.settleFunc(zone, p.Target, end),
	}
	if statesWork(a.Route) {
		r.Observe = func(t relay.Timing) { end.Timing = adapters.Timing(t) }
	}
	return r
}

// promptTokens returns the number of tokens of the prompt of a call.
func promptTokens(r adapters.Request) int {
	sum := 0
	for _, p := range r.Prompt {
		sum += p.Tokens
	}
	return max(sum, r.Size.Prompt)
}

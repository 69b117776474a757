package placer

import (
	"context"
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/relay"
)

// workingCall returns the request of a call that states its work.
func workingCall(maxGap time.Duration) relay.ChooseRequest {
	return relay.ChooseRequest{
		Call: &bamboorail.Call{
			Size: bamboorail.CallSize{Prompt: 491, Output: 120}, Workspace: "w",
			Prompt: []bamboorail.PromptPart{{ID: "system", Tokens: 300}, {ID: "document", Tokens: 150}, {ID: "own", Tokens: 41}},
		},
		Route: bamboorail.RouteSpec{MaxEventGap: maxGap},
	}
}

// throughWire encodes and decodes a message.
func throughWire[M proto.Message](t *testing.T, m, into M) int {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// TestWorkOfCallOverWire guards against a holder that places the calls of other instances by
// another work than its own, and against messages that grow where no route limits gaps.
func TestWorkOfCallOverWire(t *testing.T) {
	cases := map[string]struct {
		call relay.ChooseRequest
		// most is the largest number of bytes that the work adds to a message.
		most int
	}{
		"no limit of gaps": {workingCall(0), 0},
		"limit of gaps":    {workingCall(400 * time.Millisecond), 64},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var local, remote adapters.Request
			addWork(&local, c.call)
			m, decoded := &wire.PlaceRequest{}, &wire.PlaceRequest{}
			addWorkMessage(m, c.call)
			size := throughWire(t, m, decoded)
			addWorkFromWire(&remote, decoded)
			if len(local.Prompt) > 0 {
				// The name of the last part is not sent.
				local.Prompt = append([]bamboorail.PromptPart(nil), local.Prompt...)
				local.Prompt[len(local.Prompt)-1].ID = ""
			}
			if !reflect.DeepEqual(local, remote) {
				t.Errorf("another instance's holder gets %+v, this one's %+v", remote, local)
			}
			if size > c.most {
				t.Errorf("the work takes %d bytes, at most %d expected", size, c.most)
			}
		})
	}
}

// TestInvalidWorkFromWire guards against work of other instances that overflows the sums of
// the planner.
func TestInvalidWorkFromWire(t *testing.T) {
	many := make([]*wire.PromptPart, maxWireParts+1)
	cases := map[string]struct {
		message  *wire.PlaceRequest
		expected adapters.Request
	}{
		"negative": {
			&wire.PlaceRequest{PromptTokens: -1, OutputTokens: math.MinInt64, MaxGapMicros: -1, Prompt: []*wire.PromptPart{{Id: "a", Tokens: -5}}},
			adapters.Request{Prompt: []bamboorail.PromptPart{{ID: "a"}}},
		},
		"too large": {
			&wire.PlaceRequest{PromptTokens: math.MaxInt64, MaxGapMicros: math.MaxInt64, Prompt: []*wire.PromptPart{{Tokens: math.MaxInt64}}},
			adapters.Request{
				Size: bamboorail.CallSize{Prompt: maxWireTokens}, MaxGap: maxWireDuration, Prompt: []bamboorail.PromptPart{{Tokens: maxWireTokens}},
			},
		},
		"too many parts": {&wire.PlaceRequest{PromptTokens: 7, Prompt: many}, adapters.Request{Size: bamboorail.CallSize{Prompt: 7}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got adapters.Request
			if addWorkFromWire(&got, c.message); !reflect.DeepEqual(got, c.expected) {
				t.Errorf("%+v, expected %+v", got, c.expected)
			}
		})
	}
}

// TestEventTimesOverWire guards against event times that are lost on their way to the holder.
func TestEventTimesOverWire(t *testing.T) {
	const us = time.Microsecond
	cases := map[string]EndedPlacement{
		"no events":   {Ticket: 1, Result: balance.Refused, Leaving: true},
		"one event":   {Ticket: 2, Result: balance.Answered, Timing: adapters.Timing{FirstEvent: 1500 * us}},
		"some events": {Ticket: 3, Result: balance.Answered, Timing: adapters.Timing{FirstEvent: 1500 * us, Event: 40 * us, LongestGap: 350 * us}},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			message, decoded := &wire.SettleRequest{Ended: endedMessages([]EndedPlacement{end})}, &wire.SettleRequest{}
			throughWire(t, message, decoded)
			if got := endedFromWire(decoded.GetEnded()); len(got) != 1 || got[0] != end {
				t.Errorf("%+v, expected %+v", got, end)
			}
		})
	}
}

// recordingHolders records the messages to the holders of other instances.
type recordingHolders struct {
	*fakeHolders
	placed  []*wire.PlaceRequest
	settled []*wire.SettleRequest
}

func (h *recordingHolders) Place(ctx context.Context, address string, r *wire.PlaceRequest) (*wire.PlaceReply, error) {
	h.placed = append(h.placed, r)
	return h.fakeHolders.Place(ctx, address, r)
}

func (h *recordingHolders) Settle(ctx context.Context, address string, r *wire.SettleRequest) (*wire.SettleReply, error) {
	h.settled = append(h.settled, r)
	return h.fakeHolders.Settle(ctx, address, r)
}

// TestHolderOfOtherInstanceLearnsOfWork checks the messages for a call that another instance's
// holder places, of a route with and without a limit of gaps.
func TestHolderOfOtherInstanceLearnsOfWork(t *testing.T) {
	cases := map[string]struct {
		maxGap     time.Duration
		prompt     int64
		parts      int
		firstEvent int64
	}{
		"no limit of gaps": {0, 0, 0, 0},
		"limit of gaps":    {400 * time.Millisecond, 491, 3, 1500},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chooser, fake, a := newTestChooser(t)
			holders := &recordingHolders{fakeHolders: fake}
			chooser.Peers = holders
			fake.replies["a"] = &wire.PlaceReply{Holder: true, Target: "e", Ticket: 7}
			work := workingCall(c.maxGap)
			a.Route, a.Call.Size, a.Call.Prompt = work.Route, work.Call.Size, work.Call.Prompt
			a.StartBy = time.Now().Add(time.Minute)
			r, err := chooser.Choose(context.Background(), a)
			if err != nil {
				t.Fatal(err)
			}
			if p := holders.placed[0]; p.GetPromptTokens() != c.prompt || len(p.GetPrompt()) != c.parts || p.GetMaxGapMicros() != c.maxGap.Microseconds() {
				t.Errorf("sent %v", p)
			}
			if (r.Observe != nil) != (c.maxGap > 0) {
				t.Errorf("event times observed: %t", r.Observe != nil)
			}
			if r.Observe != nil {
				r.Observe(relay.Timing{FirstEvent: 1500 * time.Microsecond})
			}
			r.Done(balance.Answered, time.Second)
			chooser.settle(context.Background(), chooser.Zones[0])
			if len(holders.settled) != 1 || len(holders.settled[0].GetEnded()) != 1 {
				t.Fatalf("settled %v", holders.settled)
			}
			if e := holders.settled[0].GetEnded()[0]; e.GetTicket() != 7 || e.GetFirstEventMicros() != c.firstEvent {
				t.Errorf("settled %v", e)
			}
		})
	}
}

// TestPromptTokensAreCounted guards against a holder whose share of kept prompt tokens cannot
// be seen.
func TestPromptTokensAreCounted(t *testing.T) {
	b, work := newTestHolder(t), workingCall(400*time.Millisecond)
	r := adapters.Request{Key: bamboorail.AdapterKey{Model: "m", Adapter: "a"}, Service: "s", CallID: "i", Objective: time.Second}
	addWork(&r, work)
	if _, err := b.Place(context.Background(), r); err != nil {
		t.Fatal(err)
	}
	if c := b.usage.resetCounts(); c.promptTokens != 491 || c.keptTokens != 0 {
		t.Errorf("%d prompt tokens, %d of them kept", c.promptTokens, c.keptTokens)
	}
}

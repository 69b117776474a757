package placer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/quarantine"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// informInterval is the interval between messages with the blocks to a holder that has lost one.
const informInterval = time.Second

// maxPendingBreaks bounds the evidence that is kept for a holder that does not
// answer.
const maxPendingBreaks = 64

var (
	errPromptBlocked  = errors.New("a segment of the prompt crashes engines")
	errRequestBlocked = errors.New("the request crashes targets")
)

// Quarantine exchanges the evidence and the blocks of the registry of this instance
// with other instances.
type Quarantine struct {
	registry *quarantine.Registry
	metrics  *telemetry.Metrics
	log      hclog.Logger
}

// NewQuarantine returns a quarantine without evidence.
func NewQuarantine(m *telemetry.Metrics, log hclog.Logger) *Quarantine {
	return &Quarantine{registry: quarantine.New(), metrics: m, log: log}
}

// segmentsOf returns the segments that a call may have in common with others.
func segmentsOf(call *bamboorail.Call) []string {
	if call.Fingerprint == "" {
		return call.PromptSegments
	}
	return append(slices.Clip(call.PromptSegments), quarantine.Request(call.Fingerprint))
}

// check returns an error if the call must not be sent to a target.
func (q *Quarantine) check(call *bamboorail.Call) error {
	now := time.Now()
	b, blocked := q.registry.Check(segmentsOf(call), now)
	if !blocked {
		return nil
	}
	kind, err := bamboorail.KindPromptBlocked, errPromptBlocked
	if quarantine.IsRequest(b.Segment) {
		kind, err = bamboorail.KindRequestBlocked, errRequestBlocked
	}
	return failRetry("choose-target", kind, b.Until.Sub(now), fmt.Errorf("%w: %s, %d crashes", err, b.Segment, b.Crashes))
}

// record records the result of a call. It returns what other instances should be
// told about it, and false if there is nothing.
func (q *Quarantine) record(a relay.ChooseRequest, target bamboorail.TargetID, r balance.Result) (quarantine.Break, bool) {
	segments := segmentsOf(a.Call)
	switch {
	case len(segments) == 0:
	case r == balance.Answered:
		q.registry.RecordAnswer(segments)
	case r.BrokeAtStart():
		return q.registry.RecordBreak(target, segments, a.Runs > 0, time.Now()), true
	}
	return quarantine.Break{}, false
}

// merge adds the evidence of another instance.
func (q *Quarantine) merge(messages []*wire.BrokenCall) {
	if len(messages) == 0 {
		return
	}
	now := time.Now()
	breaks := make([]quarantine.Break, 0, len(messages))
	for _, m := range messages {
		b := quarantine.Break{
			Target:   bamboorail.TargetID{Name: m.GetTarget(), StartMillis: m.GetBorn()},
			At:       now.Add(-time.Duration(m.GetAgeMicros()) * time.Microsecond),
			Segments: m.GetSegments(), Retried: m.GetRetried(),
		}
		for _, n := range m.GetAnswers() {
			b.Answers = append(b.Answers, int(n))
		}
		breaks = append(breaks, b)
	}
	q.registry.Merge(breaks, now)
}

// decide blocks what the evidence names. Only holders receive the evidence of all
// instances; others evaluate repeated requests only.
func (q *Quarantine) decide(holder bool) {
	if holder {
		q.report(q.registry.Evaluate(time.Now()), "evidence")
		return
	}
	q.report(q.registry.EvaluateRequests(time.Now()), "own evidence")
}

// learn merges the blocks of another instance.
func (q *Quarantine) learn(source string, messages []*wire.SegmentBlock) {
	if len(messages) == 0 {
		return
	}
	now := time.Now()
	blocks := make([]quarantine.Block, 0, len(messages))
	for _, m := range messages {
		b := quarantine.Block{Segment: m.GetSegment(), Crashes: int(m.GetCrashes())}
		if remaining := m.GetRemainingMicros(); remaining > 0 {
			b.Until = now.Add(time.Duration(remaining) * time.Microsecond)
		} else {
			b.Lifted = now.Add(time.Duration(m.GetLiftedMicros()) * time.Microsecond)
		}
		blocks = append(blocks, b)
	}
	q.report(q.registry.AddBlocks(blocks, now), source)
}

func (q *Quarantine) report(blocks []quarantine.Block, source string) {
	for _, b := range blocks {
		q.metrics.PromptSegmentBlocked()
		message := "prompt segment blocked"
		if quarantine.IsRequest(b.Segment) {
			message = "request blocked"
		}
		q.log.Warn(message, "segment", b.Segment, "crashes", b.Crashes, "for", time.Until(b.Until).Round(time.Second).String(), "source", source)
	}
}

// blockMessages returns the blocks in force.
func (q *Quarantine) blockMessages() []*wire.SegmentBlock {
	now := time.Now()
	blocks := q.registry.Blocks(now)
	if len(blocks) == 0 {
		return nil
	}
	list := make([]*wire.SegmentBlock, 0, len(blocks))
	for _, b := range blocks {
		m := &wire.SegmentBlock{Segment: b.Segment, Crashes: int32(b.Crashes)}
		if b.Until.IsZero() {
			m.LiftedMicros = b.Lifted.Sub(now).Microseconds()
		} else {
			m.RemainingMicros = max(b.Until.Sub(now).Microseconds(), 1)
		}
		list = append(list, m)
	}
	return list
}

func breakMessages(breaks []quarantine.Break, now time.Time) []*wire.BrokenCall {
	list := make([]*wire.BrokenCall, 0, len(breaks))
	for _, b := range breaks {
		m := &wire.BrokenCall{Target: b.Target.Name, Born: b.Target.StartMillis, AgeMicros: now.Sub(b.At).Microseconds(), Segments: b.Segments, Retried: b.Retried}
		for _, n := range b.Answers {
			m.Answers = append(m.Answers, int32(min(n, math.MaxInt32)))
		}
		list = append(list, m)
	}
	return list
}

// observe returns a reservation that also records the result of the call, and is
// not valid once the call is blocked.
func (c *Chooser) observe(a relay.ChooseRequest, r relay.Reservation) relay.Reservation {
	valid, done, target := r.Valid, r.Done, r.Target.ID
	r.Valid = func() bool { return valid() && c.Quarantine.check(a.Call) == nil }
	r.Done = func(result balance.Result, took time.Duration) {
		done(result, took)
		if broken, ok := c.Quarantine.record(a, target, result); ok {
			c.addBreak(broken)
		}
	}
	return r
}

// choosePermitted chooses an engine for a call that is not blocked. The answer of
// a holder may bring the block of the call that it is asked about.
func (c *Chooser) choosePermitted(ctx context.Context, a relay.ChooseRequest) (relay.Reservation, time.Duration, error) {
	if err := c.Quarantine.check(a.Call); err != nil {
		return relay.Reservation{}, 0, err
	}
	if err := c.checkQuiet(a.Service.Name, time.Now()); err != nil {
		return relay.Reservation{}, bamboorail.FailureOf(err).RetryAfter, err
	}
	reservation, retryAfter, err := c.chooseEngine(ctx, a)
	if err != nil {
		return relay.Reservation{}, retryAfter, err
	}
	if err := c.Quarantine.check(a.Call); err != nil {
		reservation.Done(balance.Abandoned, 0)
		return relay.Reservation{}, 0, err
	}
	return c.observe(a, reservation), 0, nil
}

// addBreak queues evidence for the holders of all zones.
func (c *Chooser) addBreak(b quarantine.Break) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, z := range c.Zones {
		c.keepBreaks(z.Zone, b)
	}
}

// learnBlocks adds the blocks in a reply of the holder of a zone. A holder that started again
// names no more what it named before, though it is still in force at other instances. Blocks
// that it never named are not sent to it: it judges by the reports of all instances.
func (c *Chooser) learnBlocks(zone string, messages []*wire.SegmentBlock) {
	c.Quarantine.learn("holder of "+zone, messages)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(messages) == 0 && len(c.namedBlocks[zone]) == 0 {
		return
	}
	named := map[string]bool{}
	for _, m := range messages {
		named[m.GetSegment()] = true
	}
	lost := map[string]bool{}
	for segment := range c.namedBlocks[zone] {
		if !named[segment] {
			lost[segment] = true
		}
	}
	c.lostBlocks[zone] = lost
	for segment := range lost {
		named[segment] = true
	}
	c.namedBlocks[zone] = named
}

// takeBlocks returns the blocks in force that the holder of a zone has lost.
func (c *Chooser) takeBlocks(zone string, now time.Time) []*wire.SegmentBlock {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := c.lostBlocks[zone]
	if len(lost) == 0 || now.Sub(c.informedAt[zone]) < informInterval {
		return nil
	}
	blocks := slices.DeleteFunc(c.Quarantine.blockMessages(), func(m *wire.SegmentBlock) bool {
		return !lost[m.GetSegment()] || m.GetRemainingMicros() == 0
	})
	if len(blocks) == 0 {
		// The blocks have ended since.
		maps.DeleteFunc(c.namedBlocks[zone], func(segment string, _ bool) bool { return lost[segment] })
		delete(c.lostBlocks, zone)
		return nil
	}
	c.informedAt[zone] = now
	return blocks
}

// leads reports whether this instance holds a zone.
func (c *Chooser) leads() bool {
	return slices.ContainsFunc(c.Zones, func(z ZoneHolder) bool { return z.Local != nil && z.Lease.Leading() })
}

// object lifts the blocks of segments that this instance knows to be sound, and
// queues the objection for the holders of all zones.
func (c *Chooser) object() {
	for _, b := range c.Quarantine.registry.Objections(time.Now()) {
		c.Log.Info("block of prompt segment lifted", "segment", b.Segments[0], "answers", b.Answers[0])
		c.addBreak(b)
	}
}

// keepBreaks queues evidence for the holder of a zone. The caller holds the lock.
func (c *Chooser) keepBreaks(zone string, list ...quarantine.Break) {
	list = append(c.breaks[zone], list...)
	c.breaks[zone] = list[max(0, len(list)-maxPendingBreaks):]
}

func (c *Chooser) takeBreaks(zone string) []quarantine.Break {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.breaks[zone]
	delete(c.breaks, zone)
	return list
}

func (c *Chooser) requeueBreaks(zone string, list []quarantine.Break) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepBreaks(zone, list...)
}

package relay

import (
	"time"

	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/eventstream"
)

// Timing describes the events of a stream as its target sent them. 0 is unknown.
type Timing struct {
	// FirstEvent is the time from the sending of the call to its first event, Event the
	// mean and LongestGap the longest time between events.
	FirstEvent, Event, LongestGap time.Duration
}

// maxPassTime is the time within which a part of a stream is passed on to a caller that reads.
// What the target sends during a longer time is buffered: it is read at once later, and says
// nothing about the pace of the target until a read has to wait again. Events of the planned
// loads are 35 ms or more apart.
const maxPassTime = 5 * time.Millisecond

// eventTimer measures the time that a target takes for the events of one answer. The time in
// which the caller does not read is not the target's. The zero value is that of an answer of
// which nothing is read yet.
type eventTimer struct {
	counter eventstream.Counter
	// first is the time to the first event, 0 before it, and lastAt the time of the last one.
	first  time.Duration
	lastAt time.Time
	// since is the time since which the target is waited for, waited the time before that
	// since the last event.
	since  time.Time
	waited time.Duration
	// buffered is set while events may have been sent earlier than they are read.
	buffered bool
	// total is the time between events, counted the number of events at the ends of it.
	total   time.Duration
	counted int
	longest time.Duration
}

// start prepares for reading an answer, the beginning of which may have been read before.
func (t *eventTimer) start(now time.Time) {
	t.counter, t.since, t.waited, t.buffered = eventstream.Counter{}, now, 0, true
}

// read records a part of the answer to a call that was sent at a time. It returns the number
// of events that end in the part, and the time for which the target was waited for before them.
func (t *eventTimer) read(part []byte, sentAt, now time.Time) (count int, gap time.Duration) {
	t.waited += now.Sub(t.since)
	t.since = now
	if count = t.counter.Add(part); count == 0 {
		return 0, 0
	}
	t.lastAt = now
	if t.first == 0 {
		t.first, t.waited, t.buffered = max(now.Sub(sentAt), 1), 0, false
		return count, 0
	}
	gap, t.waited = t.waited, 0
	t.longest = max(t.longest, gap)
	if t.buffered {
		t.buffered = gap <= maxPassTime
		return count, gap
	}
	t.total += gap
	t.counted += count
	return count, gap
}

// passed records that the last part was passed on to the caller.
func (t *eventTimer) passed(now time.Time) {
	t.buffered = t.buffered || now.Sub(t.since) > maxPassTime
	t.since = now
}

// interrupt records that the answer broke off. Its target was silent before that for at least
// the time in which it was waited for.
func (t *eventTimer) interrupt(now time.Time) {
	if t.first > 0 {
		t.longest = max(t.longest, t.waited+now.Sub(t.since))
	}
}

// timing returns what is known of the answer.
func (t *eventTimer) timing() Timing {
	timing := Timing{FirstEvent: t.first, LongestGap: t.longest}
	if t.counted > 0 {
		timing.Event = t.total / time.Duration(t.counted)
	}
	return timing
}

// release reports the times of the events and releases the reservation.
func (l *leg) release(result balance.Result, took time.Duration) {
	if observe, timing := l.reservation.Observe, l.timer.timing(); observe != nil && timing.FirstEvent > 0 {
		observe(timing)
	}
	if l.reservation.Done != nil {
		l.reservation.Done(result, took)
	}
}

// streamTimes are the times of the events of a call that were read, from all its targets.
type streamTimes struct {
	// first is the time from the arrival of the call to its first event, longest the longest
	// time between events in which the caller did not keep the instance waiting.
	first, longest time.Duration
	// longestAfter is the number of events before the longest time, longestAt the target
	// that was waited for.
	longestAfter int
	longestAt    string
	// last is the leg of the last event.
	last *leg
	// events is the number of events.
	events int
}

// fields returns the times as fields of the line of an ended call.
func (t *streamTimes) fields(maxGap time.Duration) []any {
	list := []any{"events", t.events, "first-event-ms", t.first.Milliseconds()}
	if t.events > 1 {
		list = append(list, "longest-gap-ms", t.longest.Milliseconds(), "gap-after", t.longestAfter, "gap-target", t.longestAt)
	}
	if maxGap > 0 {
		list = append(list, "max-gap-ms", maxGap.Milliseconds())
	}
	return list
}

// recordEvents records a part of the answer of a leg.
func (x *exchange) recordEvents(l *leg, part []byte) {
	now := time.Now()
	count, gap := l.timer.read(part, l.sentAt, now)
	if count == 0 {
		return
	}
	t, awaited := &x.times, l
	switch {
	case t.last == nil:
		t.first = now.Sub(x.received)
	case t.last != l:
		// The caller waited until another target continued the stream.
		gap, awaited = now.Sub(t.last.timer.lastAt), t.last
	}
	if gap > t.longest {
		t.longest, t.longestAfter, t.longestAt = gap, t.events, awaited.target.ID.Name
	}
	t.last, t.events = l, t.events+count
}

package relay

import (
	"errors"

	"bamboorail.example/bamboorail/internal/eventstream"
)

// maxEventBytes limits one event of a stream; the largest that users send have
// some hundred bytes.
const maxEventBytes = 256 << 10

var errEventTooLarge = errors.New("an event of the stream exceeds 256 KiB")

// eventBuffer splits a stream into complete events and records which of them were
// forwarded.
type eventBuffer struct {
	pending []byte
	// lastID is the id of the last forwarded event, sequence the ids of all of them.
	lastID   string
	sequence eventstream.Sequence
	// continues is set while an answer is read that must continue the sequence, and
	// joined once a part of it is forwarded.
	continues, joined bool
}

// eventBatch is a series of complete events.
type eventBatch struct {
	data []byte
	// lastID and sequence are those after the events.
	lastID   string
	sequence eventstream.Sequence
}

// begin prepares for the events of another answer.
func (b *eventBuffer) begin() {
	b.pending = b.pending[:0]
	b.continues, b.joined = b.sequence.Comparable(), false
}

// add appends data and returns the events that are complete; the result is valid until the
// next call. If they do not continue the stream, it returns eventstream.ErrNotContinued.
func (b *eventBuffer) add(data []byte) (eventBatch, error) {
	b.pending = append(b.pending, data...)
	end := eventstream.Complete(b.pending)
	batch := eventBatch{data: b.pending[:end], lastID: b.lastID}
	if b.continues {
		after, count, err := b.sequence.Continue(batch.data, !b.joined)
		if err != nil {
			return eventBatch{}, err
		}
		batch.sequence = after
		if !b.joined && count == 0 {
			// Comments alone do not show that the answer fits.
			end = 0
		}
	} else {
		batch.sequence = b.sequence.Add(batch.data)
	}
	if end == 0 {
		if len(b.pending) > maxEventBytes {
			return eventBatch{}, errEventTooLarge
		}
		return eventBatch{}, nil
	}
	if id, ok := eventstream.LastID(batch.data); ok {
		batch.lastID = id
	}
	b.pending = append([]byte(nil), b.pending[end:]...)
	return batch, nil
}

// forwarded records that a batch may be forwarded.
func (b *eventBuffer) forwarded(batch eventBatch) {
	b.lastID, b.sequence, b.joined = batch.lastID, batch.sequence, true
}

// checkEnd returns eventstream.ErrNotContinued for the end of an answer without an event
// that continues the stream: nothing shows that the events before were all.
func (b *eventBuffer) checkEnd() error {
	if b.continues && !b.joined {
		return errNoEvent
	}
	return nil
}

package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/eventstream"
	"bamboorail.example/bamboorail/internal/httpport"
)

const (
	// eventTimeout is the time without an event after which a resumable stream
	// continues at another target. Callers disconnect after two seconds without
	// an event (page PROTOCOL).
	eventTimeout = 1200 * time.Millisecond
	// maxBufferedAnswer is the largest answer that is read completely before it
	// is forwarded, so that a truncated one can be replaced.
	maxBufferedAnswer = 256 << 10
	// startBytes is the beginning of an answer, an event or two.
	startBytes = 512
	// readSize is the buffer size for reading a stream.
	readSize = 16 << 10
)

// forwardAnswer forwards the answer of a leg to the caller.
func (x *exchange) forwardAnswer(l *leg) (balance.Result, error) {
	resp := l.response
	if !x.committed && l.origin.Service != "" && l.origin.Service != x.service.Name {
		x.setService(l.origin.Service)
	}
	x.target = l.target.ID
	x.framing, x.answer = httpport.FramingOf(resp), eventstream.Tracker{}
	events := x.isEventStream(resp)
	if events {
		// A length is kept only by the target that announced it, and ends a stream
		// that breaks off at that length as if it were complete.
		resp.ContentLength = -1
	}
	if err := x.checkContinuation(resp, events); err != nil {
		return balance.Failed, mayHaveRun("pass-answer", bamboorail.KindTargetFailed, err)
	}
	if x.route.Streaming && resp.StatusCode == http.StatusOK {
		if err := x.recordOrigin(l); err != nil {
			l.avoid = append(l.avoid, l.target.ID.Name)
			return balance.Abandoned, err
		}
		return x.forwardStream(l, events)
	}
	if resp.StatusCode >= http.StatusInternalServerError && x.mayRetryAnswer() {
		return balance.Failed, targetFailed(resp)
	}
	return x.forwardBuffered(l, events)
}

// checkContinuation returns eventstream.ErrNotContinued if the stream that has begun, here or
// in an earlier call of the caller, is not continued by the answer. The failure of a second
// target must not end the stream of the first as if it were complete; one that answers a
// call from its start is for the caller.
func (x *exchange) checkContinuation(resp *http.Response, events bool) error {
	required := x.committed || x.events.sequence.Comparable() && resp.StatusCode < http.StatusMultipleChoices
	if !required || x.route.Streaming && resp.StatusCode == http.StatusOK && events {
		return nil
	}
	return fmt.Errorf("%w: the target answered with status %d and type %.40q", eventstream.ErrNotContinued, resp.StatusCode, resp.Header.Get("Content-Type"))
}

// mayTakeBudget reports whether the retry budget permits a leg that starts in s. The instance that
// sends a call to a target takes it out of its budget.
func (x *exchange) mayTakeBudget(s legStart, now time.Time) bool {
	return x.neighbor(s.neighbors, s.failed) != "" || x.h.Budget(s.service.Name).Available(now)
}

func targetFailed(resp *http.Response) error {
	return mayHaveRun("pass-answer", bamboorail.KindTargetFailed, fmt.Errorf("the target answered with status %d", resp.StatusCode))
}

// forwardBuffered forwards an answer once it is whole, or the first
// maxBufferedAnswer bytes of it are.
func (x *exchange) forwardBuffered(l *leg, events bool) (balance.Result, error) {
	const op = "pass-answer"
	resp := l.response
	body := &answerReader{x: x, body: resp.Body, events: events}
	head, err := io.ReadAll(io.LimitReader(body, maxBufferedAnswer))
	if err != nil {
		return x.truncatedError(l, op, err)
	}
	result, whole := balance.Answered, len(head) < maxBufferedAnswer
	if resp.StatusCode >= http.StatusInternalServerError {
		result = balance.Failed
	}
	if whole {
		resp.ContentLength = int64(len(head))
	}
	x.commit(resp)
	if _, err := x.w.Write(head); err != nil {
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, err)
	}
	if whole {
		return result, nil
	}
	if _, err := io.Copy(x.w, body); err != nil {
		return x.truncatedError(l, op, err)
	}
	return result, nil
}

// answerReader reads the body of an answer and records it. A stream that ends
// without being whole, whatever its framing says, ends with an error.
type answerReader struct {
	x      *exchange
	body   io.Reader
	events bool
}

// Read reads the next part of the body.
func (r *answerReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	_, _ = r.x.answer.Write(p[:n]) // never fails
	if errors.Is(err, io.EOF) && r.events {
		if broken := r.x.answer.CheckEnd(r.x.framing == httpport.FramingClose); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// isEventStream reports whether the response is a stream of events. On a
// streaming route, a success without a content type is.
func (x *exchange) isEventStream(resp *http.Response) bool {
	if x.r.Method == http.MethodHead {
		return false
	}
	contentType := resp.Header.Get("Content-Type")
	return eventstream.IsEventStream(contentType) || x.route.Streaming && resp.StatusCode == http.StatusOK && contentType == ""
}

// mayRetryAnswer reports whether a call that the target answered with a failure
// may be run again.
func (x *exchange) mayRetryAnswer() bool {
	attempts := x.attempted.add(x.standby.attempts())
	return x.route.Repeat != bamboorail.RepeatNever && attempts.runs < x.maxRuns() && attempts.sent < maxSent &&
		time.Until(x.deadline) > x.route.Objective/2 && x.mayTakeBudget(x.legStart(), time.Now())
}

// truncatedError returns the failure of an answer that did not arrive
// completely.
func (x *exchange) truncatedError(l *leg, op string, err error) (balance.Result, error) {
	if result, err := l.canceledError(op, bamboorail.KindTruncated, err); err != nil {
		return result, err
	}
	result := balance.Failed
	if x.answer.Bytes() <= startBytes && (closedByTarget(err) || errors.Is(err, eventstream.ErrNoEvent) || errors.Is(err, eventstream.ErrInsideEvent)) {
		result = balance.CutShort
	}
	return result, mayHaveRun(op, bamboorail.KindTruncated, err)
}

// commit sends the response headers to the caller. A resumed stream keeps the
// headers of its first target.
func (x *exchange) commit(resp *http.Response) {
	if x.committed {
		return
	}
	header := x.w.Header()
	for name, values := range resp.Header {
		if name == "Connection" || name == "Keep-Alive" || name == "Transfer-Encoding" || name == "Content-Length" || name == "Trailer" {
			continue
		}
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value stops net/http from detecting a content type.
		header["Content-Type"] = nil
	}
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", fmt.Sprint(resp.ContentLength))
	}
	x.committed, x.status, x.firstByte = true, resp.StatusCode, time.Since(x.received)
	x.w.WriteHeader(resp.StatusCode)
}

// forwardStream forwards the parts of a stream as they arrive.
func (x *exchange) forwardStream(l *leg, events bool) (balance.Result, error) {
	const op = "pass-stream"
	resumable := events && x.route.Repeat == bamboorail.RepeatResume
	x.resumable = x.resumable || resumable
	flusher := http.NewResponseController(x.w)
	x.events.begin()
	if !x.events.continues {
		x.commit(l.response)
	}
	if resumable {
		x.standby.watch(eventTimeout, errEventTimeout, x.legStart(), x.attempted)
	}
	body, buffer := &answerReader{x: x, body: l.response.Body, events: events}, make([]byte, readSize)
	l.timer.start(time.Now())
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if events {
				x.recordEvents(l, buffer[:n])
			}
			if sendErr := x.forwardChunk(l, flusher, buffer[:n], resumable); sendErr != nil {
				return x.chunkError(op, sendErr)
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			l.timer.interrupt(time.Now())
			return x.truncatedError(l, op, err)
		}
		if err := x.endStream(l, flusher); err != nil {
			return x.chunkError(op, err)
		}
		return balance.Answered, nil
	}
}

// endStream ends a complete answer. A caller that resumes a stream after its last
// event gets an answer without any.
func (x *exchange) endStream(l *leg, flusher *http.ResponseController) error {
	if x.committed {
		return x.events.checkEnd()
	}
	x.commit(l.response)
	if _, err := x.w.Write(x.events.pending); err != nil {
		return err
	}
	return flusher.Flush()
}

// chunkError returns the failure to forward a part of a stream.
func (x *exchange) chunkError(op string, err error) (balance.Result, error) {
	if errors.Is(err, errEventTimeout) {
		return balance.Unreachable, mayHaveRun(op, bamboorail.KindTruncated, err)
	}
	if errors.Is(err, eventstream.ErrNotContinued) || errors.Is(err, errEventTooLarge) {
		return balance.Failed, mayHaveRun(op, bamboorail.KindTargetFailed, err)
	}
	return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, err)
}

// forwardChunk forwards bytes of a stream. Of a resumable stream it forwards
// only complete events, so that another target can continue after the last one. It
// returns errEventTimeout if another target already does, and eventstream.ErrNotContinued
// if the events do not follow those before.
func (x *exchange) forwardChunk(l *leg, flusher *http.ResponseController, data []byte, resumable bool) error {
	if resumable {
		// A byte now and then is no event, and no progress.
		batch, err := x.events.add(data)
		if err != nil || len(batch.data) == 0 {
			return err
		}
		if !x.standby.progress(batch.lastID, batch.sequence) {
			return errEventTimeout
		}
		x.events.forwarded(batch)
		data = batch.data
	}
	defer func() {
		// The time in which the caller does not read is not the target's.
		now := time.Now()
		l.timer.passed(now)
		if resumable {
			x.standby.resume(now)
		}
	}()
	x.commit(l.response)
	if _, err := x.w.Write(data); err != nil {
		return err
	}
	return flusher.Flush()
}

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
)

// errNoEvent marks a stream that ended without an event.
var errNoEvent = fmt.Errorf("%w: it ended without an event", eventstream.ErrNotContinued)

// awaitContinuation checks that the answer of a standby leg can take the place of the
// current one. It waits for the first event of a stream, and for the end of another answer that
// is not too large.
func (l *leg) awaitContinuation() error {
	const op = "start-standby"
	resp := l.response
	events := l.x.isEventStream(resp)
	continues := l.start.committed || l.start.sequence.Comparable()
	if resp.StatusCode >= http.StatusInternalServerError || continues && (resp.StatusCode != http.StatusOK || !events) {
		return mayHaveRun(op, bamboorail.KindTargetFailed, eventstream.ErrNotContinued)
	}
	read := readAnswer
	if events {
		read = l.readFirstEvent
	}
	first, end, err := read(resp.Body)
	switch {
	case errors.Is(err, eventstream.ErrNotContinued), errors.Is(err, errEventTooLarge):
		return mayHaveRun(op, bamboorail.KindTargetFailed, err)
	case err != nil:
		return mayHaveRun(op, bamboorail.KindTruncated, err)
	}
	resp.Body = prefixedBody{Reader: io.MultiReader(&firstRead{data: first, err: end}, resp.Body), Closer: resp.Body}
	return nil
}

// readAnswer reads an answer, or the first maxBufferedAnswer bytes of it. It also returns
// io.EOF if the answer ends there.
func readAnswer(body io.Reader) (data []byte, end, err error) {
	data, err = io.ReadAll(io.LimitReader(body, maxBufferedAnswer))
	if err == nil && len(data) < maxBufferedAnswer {
		end = io.EOF
	}
	return data, end, err
}

// readFirstEvent reads a stream until its first event is complete and continues the events
// before. It also returns the error with which the last read ended.
func (l *leg) readFirstEvent(body io.Reader) (data []byte, end, err error) {
	check, buffer := eventBuffer{sequence: l.start.sequence}, make([]byte, readSize)
	check.begin()
	l.timer.start(time.Now())
	for {
		n, end := body.Read(buffer)
		l.timer.read(buffer[:n], l.sentAt, time.Now())
		data = append(data, buffer[:n]...)
		if _, err := check.add(buffer[:n]); err != nil {
			return nil, nil, err
		}
		switch {
		case eventstream.HasEvent(data):
			return data, end, nil
		case errors.Is(end, io.EOF):
			return nil, nil, errNoEvent
		case end != nil:
			return nil, nil, end
		case len(data) > maxEventBytes:
			return nil, nil, errEventTooLarge
		}
	}
}

// continuationError returns the result of a standby leg whose answer cannot take the place
// of the current one.
func (l *leg) continuationError(err error) (balance.Result, error) {
	if result, err := l.canceledError("start-standby", bamboorail.KindTruncated, err); err != nil {
		return result, err
	}
	return balance.Failed, err
}

// prefixedBody is a body whose beginning was read before.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// firstRead returns the result of an earlier read.
type firstRead struct {
	data []byte
	err  error
}

// Read returns the rest of the data, and then the error of the earlier read. It returns
// io.EOF if there was none, for the reader that follows.
func (r *firstRead) Read(p []byte) (int, error) {
	n := copy(p, r.data)
	r.data = r.data[n:]
	if len(r.data) > 0 {
		return n, nil
	}
	if r.err != nil {
		return n, r.err
	}
	return n, io.EOF
}

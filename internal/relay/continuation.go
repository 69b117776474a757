package relay

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"slices"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
)

var errNotContinued = errors.New("the answer does not continue the stream")

// awaitContinuation checks that the answer of a standby leg can take the place of the
// current one. It waits for the first event of a stream, and for the whole of another answer
// that is not too large.
func (l *leg) awaitContinuation() error {
	const op = "start-standby"
	resp := l.response
	events := l.x.isEventStream(resp)
	if resp.StatusCode >= http.StatusInternalServerError || l.start.committed && (resp.StatusCode != http.StatusOK || !events) {
		return mayHaveRun(op, bamboorail.KindTargetFailed, errNotContinued)
	}
	enough := func(data []byte) bool { return len(data) >= maxBufferedAnswer }
	if events {
		enough = func(data []byte) bool { return hasEvent(data) || len(data) >= maxEventBytes }
	}
	var first []byte
	var err error
	for err == nil && !enough(first) {
		var n int
		first = slices.Grow(first, readSize)
		n, err = resp.Body.Read(first[len(first) : len(first)+readSize])
		first = first[:len(first)+n]
	}
	switch {
	case events && !hasEvent(first):
		return mayHaveRun(op, bamboorail.KindTruncated, cmp.Or(notEOF(err), errNotContinued))
	case !events && notEOF(err) != nil:
		return mayHaveRun(op, bamboorail.KindTruncated, err)
	}
	resp.Body = prefixedBody{Reader: io.MultiReader(&firstRead{data: first, err: err}, resp.Body), Closer: resp.Body}
	return nil
}

// notEOF returns err unless it marks the proper end of a body.
func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
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

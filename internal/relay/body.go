package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"bamboorail.example/bamboorail"
)

const (
	// smallBody is the size up to which a body is read without a reservation.
	smallBody = 16 << 10
	// largeBody is the size from which the buffer of a body without a length grows no more.
	largeBody = 256 << 10
	// messageShare is the part of the memory for bodies that the messages of forwarded calls may
	// take in addition: with bodies and messages the heap stays below the memory limit.
	messageShare = 2
	// maxBodyWait bounds the wait for memory. Callers leave after a second in which
	// nothing of their call was read (page PROTOCOL).
	maxBodyWait = 800 * time.Millisecond
)

var errBodyMemory = errors.New("the bodies of other calls use the memory for bodies")

// bodyMemory is the memory for the bodies of calls, which are kept until the calls end. A
// nil bodyMemory has no limit.
type bodyMemory struct {
	size int64
	free *semaphore.Weighted
}

func newBodyMemory(size int64) *bodyMemory {
	if size <= 0 {
		return nil
	}
	return &bodyMemory{size: size, free: semaphore.NewWeighted(size)}
}

// reserve waits for memory until ctx ends, and returns the function that releases it. A body
// that is larger than all memory gets all.
func (m *bodyMemory) reserve(ctx context.Context, bytes int64) (release func(), err error) {
	if m == nil {
		return func() {}, nil
	}
	bytes = min(bytes, m.size)
	if err := m.free.Acquire(ctx, bytes); err != nil {
		return nil, errors.Join(errBodyMemory, err)
	}
	return func() { m.free.Release(bytes) }, nil
}

// readBody reads the body of the call, which may have limit bytes.
func (x *exchange) readBody(limit int64) error {
	const op = "read-body"
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if !x.r.ProtoAtLeast(1, 1) && x.r.Method != http.MethodGet && x.r.Header.Get("Content-Length") == "" {
		// net/http ignores the Transfer-Encoding of such a request and reads no
		// body.
		return notRun(op, bamboorail.KindBadRequest, 0, errNoLength)
	}
	if x.r.ContentLength > limit {
		return notRun(op, bamboorail.KindTooLarge, 0, &http.MaxBytesError{Limit: limit})
	}
	err := x.readLimited(http.MaxBytesReader(x.w, x.r.Body, limit), limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		return notRun(op, bamboorail.KindOverloaded, defaultRetryAfter, err)
	case errors.As(err, &tooLarge):
		return notRun(op, bamboorail.KindTooLarge, 0, err)
	case err != nil:
		return notRun(op, bamboorail.KindBadRequest, 0, err)
	}
	x.call.Fingerprint = fingerprint(x.r, &x.call, x.body)
	return nil
}

// readLimited reads a body. Before it reads more than smallBody of it, it reserves the memory
// for the rest: the announced length, or the limit of a body without one.
func (x *exchange) readLimited(body io.Reader, limit int64) error {
	size := x.r.ContentLength
	if size >= 0 && size <= smallBody {
		var err error
		x.body, err = io.ReadAll(body)
		return err
	}
	var start []byte
	if size < 0 {
		var err error
		if start, err = io.ReadAll(io.LimitReader(body, smallBody)); err != nil || len(start) < smallBody {
			x.body = start
			return err
		}
		size = limit
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), earliest(x.startBy, time.Now().Add(maxBodyWait)))
	defer cancel()
	release, err := x.h.bodies.reserve(ctx, size)
	if err != nil {
		return err
	}
	x.releaseBody = release
	if x.r.ContentLength < 0 {
		x.body, err = readAll(start, body, size)
		return err
	}
	x.body = make([]byte, size)
	_, err = io.ReadFull(body, x.body)
	return err
}

// readAll reads the rest of a body, of which limit bytes are reserved. The buffer grows while it
// is small, and then has the size of the reservation: one that grows further would take a
// multiple of it.
func readAll(start []byte, body io.Reader, limit int64) ([]byte, error) {
	buffer := start
	for {
		if len(buffer) == cap(buffer) {
			size := limit
			if cap(buffer) < largeBody {
				size = min(2*int64(cap(buffer)), limit)
			}
			// One byte more finds the end of a body that has limit bytes.
			buffer = append(make([]byte, 0, size+1), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return buffer, err
		}
	}
}

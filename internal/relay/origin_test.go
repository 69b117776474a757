package relay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bamboorail.example/bamboorail"
)

// TestStreamsKeepTheirSoftwareVersion guards against streams joined from two versions (incident archive-software-versions).
func TestStreamsKeepTheirSoftwareVersion(t *testing.T) {
	rest := stream(true, event(3), event(4))
	broken := stream(false, event(1), event(2))
	origin := func(service, software string) fakeOrigins {
		return fakeOrigins{"first": {Service: service, Software: software}}
	}
	cases := map[string]struct {
		first   script
		spares  [2]string // software versions of the second and third target
		origins fakeOrigins
		header  []string
		status  int
		broken  bool
		// target is the one that must have generated the last part, if any.
		target string
	}{
		"resumed within the answer":      {first: broken, spares: [2]string{"v2", "v1"}, status: http.StatusOK, target: "third"},
		"no other target of the kind":    {first: broken, spares: [2]string{"v2", "v3"}, status: http.StatusOK, broken: true},
		"resumed by its caller":          {first: rest, origins: origin("s", "v2"), spares: [2]string{"v2", "v1"}, header: []string{"Last-Event-Id", "2", "Resumes", "first"}, status: http.StatusOK, target: "second"},
		"origin gone":                    {first: rest, origins: origin("s", "v9"), spares: [2]string{"v2", "v1"}, header: []string{"Last-Event-Id", "2", "Resumes", "first"}, status: http.StatusServiceUnavailable},
		"origin at another service":      {first: rest, origins: origin("t", "v1"), spares: [2]string{"v2", "v1"}, header: []string{"Last-Event-Id", "2", "Resumes", "first"}, status: http.StatusServiceUnavailable},
		"origin unknown":                 {first: rest, spares: [2]string{"v2", "v1"}, header: []string{"Last-Event-Id", "2", "Resumes", "first"}, status: http.StatusServiceUnavailable},
		"nothing named":                  {first: rest, spares: [2]string{"v2", "v1"}, header: []string{"Last-Event-Id", "2"}, status: http.StatusServiceUnavailable},
		"resumed twice":                  {first: broken, origins: origin("s", "v1"), spares: [2]string{"v2", "v1"}, header: []string{"Last-Event-Id", "1", "Resumes", "first"}, status: http.StatusOK, target: "third"},
		"refused before it began":        {first: raw("HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), spares: [2]string{"v2", "v1"}, status: http.StatusOK, target: "second"},
		"broken off before it began":     {first: raw(""), spares: [2]string{"v2", "v1"}, status: http.StatusOK, target: "second"},
		"a new stream that names a call": {first: rest, spares: [2]string{"v2", "v1"}, header: []string{"Resumes", "first"}, status: http.StatusOK, target: "first"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets := []*fakeTarget{newTarget(t, "first", c.first), newTarget(t, "second", rest), newTarget(t, "third", rest)}
			for n, software := range []string{"v1", c.spares[0], c.spares[1]} {
				targets[n].entry.Software = software
			}
			b := newTestRelay(t, resumable, targets...)
			for call, o := range c.origins {
				b.origins.Cache(call, o)
			}
			r := b.call(t, http.MethodPost, "/p/x", "body", c.header...)
			if r.status != c.status || r.broken != c.broken {
				t.Fatalf("answer %+v", r)
			}
			for n, g := range targets {
				reached := len(g.seen()) > 0
				if g.entry.ID.Name == c.target && !reached || g.entry.ID.Name != c.target && reached && n > 0 {
					t.Errorf("target %s reached: %t, expected the answer of %q", g.entry.ID.Name, reached, c.target)
				}
			}
			if c.status == http.StatusServiceUnavailable && (len(targets[0].seen()) > 0 || r.header.Get("Retry-After") == "") {
				t.Errorf("refused after it was sent, or without Retry-After: %+v", r)
			}
		})
	}
}

// TestOriginIsRecordedOnce checks that the first target of a stream is its origin,
// whoever continues it.
func TestOriginIsRecordedOnce(t *testing.T) {
	first, second := newTarget(t, "first", stream(false, event(1))), newTarget(t, "second", stream(true, event(2)))
	first.entry.Software, second.entry.Software = "v1", "v1"
	b := newTestRelay(t, resumable, first, second)
	b.call(t, http.MethodPost, "/p/x", "body")
	if got := b.origins["id-1"]; got != (bamboorail.StreamOrigin{Service: "s", Software: "v1"}) || len(b.origins) != 1 {
		t.Errorf("origins %v", b.origins)
	}
}

// failingOrigins cannot store origins at one software version, and permits only another one
// after it has failed.
type failingOrigins struct {
	fakeOrigins
	failing, permitted string
	failed             bool
}

func (o *failingOrigins) Permitted(string) string {
	if o.failed {
		return o.permitted
	}
	return ""
}

func (o *failingOrigins) Record(ctx context.Context, call string, origin bamboorail.StreamOrigin) error {
	if origin.Software == o.failing {
		o.failed = true
		return mayHaveRun("record-origin", bamboorail.KindUnavailable, errNoOrigins)
	}
	return o.fakeOrigins.Record(ctx, call, origin)
}

// TestStreamWithoutStoredOriginIsNotForwarded guards against streams that begin at an origin that is
// lost with their instance (incident archive-restarted-between-versions).
func TestStreamWithoutStoredOriginIsNotForwarded(t *testing.T) {
	cases := map[string]struct {
		permitted string
		status    int
		software  string
	}{
		"begins at the permitted version": {"v1", http.StatusOK, "v1"},
		"begins at any other target":      {"", http.StatusOK, "v3"},
		"no target is permitted":          {"v9", http.StatusBadGateway, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var targets []*fakeTarget
			for _, software := range []string{"v2", "v3", "v1"} {
				g := newTarget(t, "target-"+software, stream(true, event(1)+"data: "+software+"\n\n"))
				g.entry.Software = software
				targets = append(targets, g)
			}
			b := newTestRelay(t, resumable, targets...)
			origins := &failingOrigins{fakeOrigins: fakeOrigins{}, failing: "v2", permitted: c.permitted}
			b.handler.Origins = origins
			r := b.call(t, http.MethodPost, "/p/x", "body")
			if r.status != c.status || c.status == http.StatusOK && !strings.Contains(r.body, "data: "+c.software) {
				t.Errorf("answer %+v", r)
			}
			if got := origins.fakeOrigins["id-1"].Software; got != c.software {
				t.Errorf("recorded origin %q", got)
			}
		})
	}
}

// recordingOrigins notes which method recorded the origin of a stream.
type recordingOrigins struct {
	fakeOrigins
	recorded []string
}

func (o *recordingOrigins) Record(_ context.Context, _ string, origin bamboorail.StreamOrigin) error {
	o.recorded = append(o.recorded, "record "+origin.Software)
	return nil
}

func (o *recordingOrigins) Settle(_ context.Context, _ string, origin bamboorail.StreamOrigin, recorded bool) error {
	o.recorded = append(o.recorded, fmt.Sprintf("settle %s %t", origin.Software, recorded))
	return nil
}

// TestForwardedStreamsAreSettled guards against streams that go on at the version of an attempt
// through another instance that was not forwarded to the caller (incident coupons-begun-through-others).
func TestForwardedStreamsAreSettled(t *testing.T) {
	whole, lost := stream(true, event(1)), raw("")
	cases := map[string]struct {
		// direct is the script of the target of this instance, through are those of the
		// targets of other instances.
		direct   script
		through  []script
		recorded string
	}{
		"direct":                       {direct: whole, recorded: "record v1"},
		"through another instance":     {through: []script{whole}, recorded: "settle v2 true"},
		"through the second instance":  {through: []script{lost, whole}, recorded: "settle v3 false"},
		"direct, after another failed": {direct: whole, through: []script{lost}, recorded: "settle v1 false"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			direct := newTarget(t, "direct", c.direct)
			direct.entry.Software = "v1"
			b := newTestRelay(t, resumable, direct)
			b.detour.neighbors = map[string]func(ctx context.Context, f ForwardCall) (ForwardedAnswer, error){}
			for n, s := range c.through {
				target := newTarget(t, fmt.Sprint("t", n), s)
				target.entry.Software = fmt.Sprint("v", n+2)
				other := newTestRelay(t, resumable, target)
				address := fmt.Sprint("instance-", n)
				b.detour.order = append(b.detour.order, address)
				b.detour.neighbors[address] = func(ctx context.Context, f ForwardCall) (ForwardedAnswer, error) {
					a, err := other.through(ctx, f)
					if err != nil {
						err = NeighborFailed(err)
					}
					return a, err
				}
			}
			origins := &recordingOrigins{}
			b.handler.Origins = origins
			if r := b.call(t, http.MethodPost, "/p/x", "body"); r.status != http.StatusOK || r.broken {
				t.Errorf("answer %+v", r)
			}
			if len(origins.recorded) != 1 || origins.recorded[0] != c.recorded {
				t.Errorf("%q, expected %q", origins.recorded, c.recorded)
			}
		})
	}
}

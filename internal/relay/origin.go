package relay

import (
	"context"
	"errors"
	"slices"

	"bamboorail.example/bamboorail"
)

var (
	errOtherService = errors.New("the stream began at a service that the route no longer names")
	errNoOrigins    = errors.New("this instance keeps no origins of streams")
)

// noOrigins has no origins.
type noOrigins struct{}

func (noOrigins) Permitted(string) string { return "" }

func (noOrigins) Announce(string, bamboorail.StreamOrigin) {}

func (noOrigins) Record(context.Context, string, bamboorail.StreamOrigin) error { return nil }

func (noOrigins) Settle(context.Context, string, bamboorail.StreamOrigin, bool) error { return nil }

func (noOrigins) Cache(string, bamboorail.StreamOrigin) {}

func (noOrigins) Find(context.Context, string, string) (bamboorail.StreamOrigin, error) {
	return bamboorail.StreamOrigin{}, notRun("find-origin", bamboorail.KindUnknownOrigin, defaultRetryAfter, errNoOrigins)
}

// findOrigin restricts a call that resumes a stream to the service and the software
// version that began it.
func (x *exchange) findOrigin(ctx context.Context) error {
	if !x.route.Streaming || x.call.LastEvent == "" || x.software != "" {
		return nil
	}
	origin, err := x.h.Origins.Find(ctx, x.call.Resumes, x.service.Name)
	if err != nil {
		return err
	}
	if origin.Service != x.service.Name {
		if !slices.ContainsFunc(x.route.Shares, func(s bamboorail.ServiceShare) bool { return s.Service == origin.Service }) {
			return notRun("find-origin", bamboorail.KindUnknownOrigin, defaultRetryAfter, errOtherService)
		}
		x.setService(origin.Service)
	}
	x.software = origin.Software
	return nil
}

// beginsStream reports whether an answer begins a stream that its caller may resume.
func (x *exchange) beginsStream() bool {
	return x.route.Streaming && x.route.Repeat == bamboorail.RepeatResume && x.software == "" && !x.committed
}

// recordOrigin records where the stream of the call begins. From then on, only targets
// with the same software version may continue it.
func (x *exchange) recordOrigin(l *leg) error {
	if x.software != "" || x.committed {
		return nil
	}
	origin := bamboorail.StreamOrigin{Service: x.service.Name, Software: l.target.Software}
	others := x.forwards.Load()
	if l.neighbor != "" {
		others--
	}
	var err error
	switch {
	case !x.beginsStream():
		x.h.Origins.Cache(x.call.ID, origin)
	case l.neighbor != "":
		err = x.h.Origins.Settle(l.ctx, x.call.ID, origin, others == 0)
	case others > 0:
		err = x.h.Origins.Settle(l.ctx, x.call.ID, origin, false)
	default:
		err = x.h.Origins.Record(l.ctx, x.call.ID, origin)
	}
	if err != nil {
		return err
	}
	x.software = origin.Software
	return nil
}

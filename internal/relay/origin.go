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

func (noOrigins) Record(string, bamboorail.StreamOrigin) {}

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

// recordOrigin records where the stream of the call began. From then on, only targets
// with the same software version may continue it.
func (x *exchange) recordOrigin(target bamboorail.TargetEntry) {
	if x.software != "" || x.committed {
		return
	}
	x.software = target.Software
	x.h.Origins.Record(x.call.ID, bamboorail.StreamOrigin{Service: x.service.Name, Software: target.Software})
}

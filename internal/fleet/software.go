package fleet

import (
	"maps"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

// softwareHistory holds the software versions of the targets of each service, with the
// last time at which a target of that version was listed.
type softwareHistory map[string]map[string]time.Time

func (h softwareHistory) observe(e bamboorail.TargetEntry, now time.Time) {
	versions := h[e.Service]
	if versions == nil {
		versions = map[string]time.Time{}
		h[e.Service] = versions
	}
	versions[e.Software] = now
}

// expire removes the versions that no stream can have begun at any more.
func (h softwareHistory) expire(now time.Time) {
	for service, versions := range h {
		maps.DeleteFunc(versions, func(_ string, listed time.Time) bool { return now.Sub(listed) > bamboorail.StreamLifetime })
		if len(versions) == 0 {
			delete(h, service)
		}
	}
}

// Software returns the software versions that the targets of a service had within the
// lifetime of a stream, as far as they have been followed, sorted.
func (f *Fleet) Software(service string) []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.Sorted(maps.Keys(f.software[service]))
}

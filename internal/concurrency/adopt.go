package concurrency

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// counterBits is the number of low bits of the number of a permit that count the permits
	// of a tenure, hashBits the number of bits before them that identify its target.
	counterBits = 20
	hashBits    = 10
	tenureMask  = math.MaxUint64 &^ (1<<(counterBits+hashBits) - 1)
	// adoptPeriod is the time after which an adopted permit expires. Instances report those
	// that they hold once a second.
	adoptPeriod = 5 * time.Second
)

// hashOf returns the bits of the number of a permit that identify its target.
func hashOf(target string) uint64 {
	return xxhash.Sum64String(target) & (1<<hashBits - 1) << counterBits
}

// nextNumber returns a number that no permit has.
func (s *Shared) nextNumber(target string) uint64 {
	for {
		s.issued++
		number := s.tenure | hashOf(target) | s.issued&(1<<counterBits-1)
		if _, used := s.permits[number]; !used && number != 0 {
			return number
		}
	}
}

// Adopt takes over the permits of earlier tenures that an instance holds for one of some
// targets. It returns their number. Those of this tenure have ended, whatever an instance
// reports: the end may have come before the report.
func (s *Shared) Adopt(instance string, held []uint64, targets []string, now time.Time) int {
	adopted := 0
	for _, number := range held {
		if _, known := s.permits[number]; known || number&tenureMask == s.tenure {
			continue
		}
		for _, name := range targets {
			if number&^tenureMask>>counterBits<<counterBits != hashOf(name) {
				continue
			}
			s.permits[number] = permit{target: name, instance: instance, issued: now, expires: now.Add(adoptPeriod), unmeasured: true}
			s.target(name).held++
			s.target(name).asked = now
			adopted++
			break
		}
	}
	return adopted
}

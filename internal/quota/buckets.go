package quota

import (
	"maps"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// slackShare is the part of the slack of the limit, 11,000 units, that all zones together
	// may hold above the burst. A call that costs more than the bucket of its zone holds, or a
	// workspace without a burst, could not be served otherwise.
	slackShare = 7_200
	// Credit that expires in transfers is made up for by a refill above the rate: a part of the
	// burst and of the rate a second, of the latter at most maxExtraRate for all zones. A bucket
	// of 4,458 units loses up to 6 % otherwise. Over 8.5 s, this is 0.068 bursts and 3,400 units.
	extraBurstShare = 0.008
	extraRateShare  = 0.03
	maxExtraRate    = 400
	// spareCalls is the number of calls that a bucket holds above its share of the burst, as far
	// as the slack permits. What a bucket has left is of no use if it covers no call, which
	// matters where a zone gets a few calls a second.
	spareCalls = 2
	// minCapacityTime is the refill that a bucket holds at least, as far as the slack permits:
	// calls that arrive at random would lose credit without it.
	minCapacityTime = 250 * time.Millisecond
	// largestCallTime is the time for which a bucket is enlarged after a large call.
	largestCallTime = 5 * time.Second
	// shortTime is the age at which an unmet need is dropped: an instance whose call still
	// waits has sent another request by then.
	shortTime = 100 * time.Millisecond
	// aheadTime is the demand for which credit of other zones is requested in advance. It
	// covers two intervals of transfers and one exchange.
	aheadTime = 150 * time.Millisecond
	// keepTime is the demand that is served before credit is given to other zones.
	keepTime = 500 * time.Millisecond
	// TransferInterval is the minimum time between two rounds of requests to other zones,
	// transferTime that for which a round takes.
	TransferInterval = 50 * time.Millisecond
	transferTime     = 12 * time.Millisecond
	// retryPerInstance is the time between two requests for a workspace at its limit, from
	// all instances together.
	retryPerInstance = 10 * time.Millisecond
	// minDryTime is the time for which no transfer is requested after the other zones had
	// nothing to give. It doubles with each such answer up to maxDryTime.
	minDryTime = 100 * time.Millisecond
	maxDryTime = 400 * time.Millisecond
)

// Need is credit that the calls of a workspace need.
type Need struct {
	Workspace string
	// Instance is the requesting instance.
	Instance string
	// Amount is what the calls need, Minimum the least that is of use.
	Amount, Minimum float64
}

// Grant answers a need.
type Grant struct {
	Amount float64
	// Retry is the time after which the credit that was denied is available, 0 if all was
	// granted. If nothing was granted and it is 0, the workspace is not known.
	Retry time.Duration
	// Short is set if the bucket does not cover the demand and credit of other zones would
	// help.
	Short bool
}

// Lookup returns the quota of a workspace, and false for an unknown workspace.
type Lookup func(workspace string) (bamboorail.Quota, bool)

// Buckets holds the credit of one zone: its share of the rates and bursts.
type Buckets struct {
	zones   float64
	quota   Lookup
	since   time.Time
	buckets map[string]*bucket
	// answered is the time of the last answer of other zones.
	answered time.Time
}

type bucket struct {
	// rate is the zone's share in units a second, capacity the most that the bucket holds.
	rate, capacity float64
	tokens         float64
	updated        time.Time
	// received is the credit of other zones.
	received lots
	demand   demand
	// largest is the largest cost of a call that was lately requested, at largestAt.
	largest   float64
	largestAt time.Time
	// short are the unmet needs by instance.
	short map[string]need
	// dryUntil is the time until which no requests are sent to other zones.
	dryUntil time.Time
	dryTime  time.Duration
}

type need struct {
	amount float64
	at     time.Time
}

// NewBuckets returns the buckets of one of several zones. They are empty at since, the
// beginning of the tenure of the holder.
func NewBuckets(zones int, quota Lookup, since time.Time) *Buckets {
	return &Buckets{zones: float64(max(zones, 1)), quota: quota, since: since, buckets: map[string]*bucket{}}
}

// Retain removes the workspaces that are not configured or not limited any more.
func (b *Buckets) Retain() {
	maps.DeleteFunc(b.buckets, func(name string, _ *bucket) bool {
		q, known := b.quota(name)
		return !known || !q.IsLimited()
	})
}

// bucket returns the bucket of a workspace with its refill. It applies a changed limit.
func (b *Buckets) bucket(workspace string, q bamboorail.Quota, largest float64, now time.Time) *bucket {
	k := b.buckets[workspace]
	if k == nil {
		k = &bucket{updated: b.since, short: map[string]need{}}
		b.buckets[workspace] = k
	}
	if largest >= k.largest || now.Sub(k.largestAt) > largestCallTime {
		k.largest, k.largestAt = largest, now
	}
	k.rate = q.Rate / b.zones
	k.capacity = max(q.Burst, 0) / b.zones
	spare := max(spareCalls*k.largest, k.rate*minCapacityTime.Seconds()-k.capacity)
	k.capacity += min(spare, slackShare/b.zones)
	if now.After(k.updated) {
		extra := (extraBurstShare*max(q.Burst, 0) + min(extraRateShare*q.Rate, maxExtraRate)) / b.zones
		k.tokens += (k.rate + extra) * now.Sub(k.updated).Seconds()
		k.updated = now
	}
	k.tokens = min(k.tokens, k.capacity)
	return k
}

// Grant moves credit to an instance.
func (b *Buckets) Grant(n Need, now time.Time) Grant {
	n.Amount, n.Minimum = finite(n.Amount), finite(n.Minimum)
	q, known := b.quota(n.Workspace)
	switch {
	case !known || n.Amount == 0:
		return Grant{}
	case !q.IsLimited():
		return Grant{Amount: n.Amount}
	}
	n.Minimum = min(n.Minimum, n.Amount)
	k := b.bucket(n.Workspace, q, min(n.Minimum, q.Rate+q.Burst), now)
	// An instance repeats the request for the same calls until they are served.
	asked := k.short[n.Instance]
	if now.Sub(asked.at) > shortTime {
		asked.amount = 0
	}
	k.demand.add(max(n.Amount-asked.amount, 0), now)
	delete(k.short, n.Instance)
	available := k.tokens + k.received.balance(now)
	g := Grant{}
	if available >= n.Minimum {
		g.Amount = min(n.Amount, available)
		k.spend(g.Amount, now)
	}
	if missing := n.Amount - g.Amount; missing > 0 {
		k.short[n.Instance] = need{missing, now}
		g.Retry = b.retry(k, max(n.Minimum-available, 0), now)
	}
	g.Short = k.wanted(now) > 0
	return g
}

// retry returns the time after which a need is met that lacks an amount: by the refill, or
// by credit of other zones if they may have some.
func (b *Buckets) retry(k *bucket, lacking float64, now time.Time) time.Duration {
	retry := max(seconds(lacking/k.rate), time.Duration(len(k.short))*retryPerInstance)
	if now.Before(k.dryUntil) {
		return retry
	}
	return min(retry, max(b.answered.Add(TransferInterval).Sub(now), 0)+transferTime)
}

func (k *bucket) spend(amount float64, now time.Time) {
	for _, x := range k.received.take(amount, now) {
		amount -= x.amount
	}
	k.tokens = max(k.tokens-amount, 0)
}

// unmet returns the sum of the needs that were not met lately.
func (k *bucket) unmet(now time.Time) float64 {
	sum := 0.0
	for instance, n := range k.short {
		if now.Sub(n.at) > shortTime {
			delete(k.short, instance)
			continue
		}
		sum += n.amount
	}
	return sum
}

// wanted returns the credit of other zones that the bucket needs now. Credit for the demand to
// come is requested if calls wait, or if it covers a call of half the largest size; it would
// expire between the calls otherwise.
func (k *bucket) wanted(now time.Time) float64 {
	unmet, ahead := k.unmet(now), max(k.demand.at(now)-k.rate, 0)*aheadTime.Seconds()
	if unmet == 0 && ahead < k.largest/2 {
		ahead = 0
	}
	return unmet + ahead - k.tokens - k.received.balance(now)
}

// Wanted returns the credit to be requested from other zones.
func (b *Buckets) Wanted(now time.Time) []Need {
	var list []Need
	for _, name := range slices.Sorted(maps.Keys(b.buckets)) {
		q, known := b.quota(name)
		if !known || !q.IsLimited() {
			continue
		}
		k := b.bucket(name, q, 0, now)
		if now.Before(k.dryUntil) {
			continue
		}
		if wanted := min(k.wanted(now), q.Rate+q.Burst); wanted > 0 {
			list = append(list, Need{Workspace: name, Amount: wanted})
		}
	}
	return list
}

// Give moves credit that the demand of this zone does not need to another zone. Credit that
// was received is not passed on, so that it does not outlive its expiry.
func (b *Buckets) Give(workspace string, amount float64, now time.Time) float64 {
	q, known := b.quota(workspace)
	if !known || !q.IsLimited() {
		return 0
	}
	k := b.bucket(workspace, q, 0, now)
	own := k.demand.at(now)
	keep := max(own-k.rate, 0)*keepTime.Seconds() + min(own*keepTime.Seconds()/2, k.capacity/2) + k.unmet(now)
	given := min(finite(amount), max(k.tokens-keep, 0))
	k.tokens -= given
	return given
}

// Receive adds credit that another zone gave, of a requested amount. It expires at
// a time.
func (b *Buckets) Receive(workspace string, amount float64, expires, now time.Time) {
	q, known := b.quota(workspace)
	if !known || !q.IsLimited() {
		return
	}
	k := b.bucket(workspace, q, 0, now)
	k.received.balance(now)
	k.received.add(lot{finite(amount), expires})
}

// Answered records the answers of all other zones to a request for credit. If they gave
// nothing, no requests are sent to them for a while.
func (b *Buckets) Answered(workspace string, given float64, now time.Time) {
	b.answered = now
	k := b.buckets[workspace]
	switch {
	case k == nil:
	case given > 0:
		k.dryTime, k.dryUntil = 0, time.Time{}
	default:
		k.dryTime = min(max(2*k.dryTime, minDryTime), maxDryTime)
		k.dryUntil = now.Add(k.dryTime)
	}
}

package adapters

import (
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"bamboorail.example/bamboorail"
)

const (
	// maxKeptAge is the time after which a part that no call has used is not believed to be
	// kept. The planner sees only the calls that it places: an engine may have used its
	// memory to others.
	maxKeptAge = 20 * time.Second
	// maxKeptParts bounds the parts of one engine, at 131 bytes each. An engine of the planned
	// loads is sent up to six calls with two or three shared parts a second, some 300 parts
	// within maxKeptAge.
	maxKeptParts = 512
)

// keptPrompts estimates which beginnings of prompts one engine keeps, from the calls that
// were sent to it. An engine keeps the parts of a prompt for one model and adapter, uses a
// part only if it keeps all parts before it, and evicts the least recently used parts when
// it needs memory.
type keptPrompts struct {
	// parts are the kept parts by their paths, which include the model, the adapter and the
	// parts before.
	parts *simplelru.LRU[partPath, keptPart]
	// total is the number of tokens of all parts.
	total int
}

// partPath is a hash of the parts up to one part. Two paths with the same hash are mistaken
// for one another, which makes an estimate wrong and nothing else.
type partPath uint64

// keptPart is a part that was sent to an engine.
type keptPart struct {
	tokens int
	usedAt time.Time
}

// newKeptPrompts returns the estimate for an engine that keeps nothing.
func newKeptPrompts() *keptPrompts {
	k := &keptPrompts{}
	// The size is positive, so there is no error.
	k.parts, _ = simplelru.NewLRU(maxKeptParts, func(_ partPath, p keptPart) { k.total -= p.tokens })
	return k
}

// record records that a call with a prompt is sent to the engine, which keeps at most
// capacity tokens. The last part is the call's own, so no other call uses it again.
func (k *keptPrompts) record(key bamboorail.AdapterKey, prompt []bamboorail.PromptPart, capacity int, now time.Time) {
	shared := sharedParts(prompt)
	paths := make([]partPath, 0, len(shared))
	for _, path := range pathsOf(key, shared) {
		paths = append(paths, path)
	}
	// The last part of the path is the first that the engine evicts.
	for n := len(paths) - 1; n >= 0; n-- {
		k.parts.Remove(paths[n])
		p := keptPart{tokens: max(shared[n].Tokens, 0), usedAt: now}
		k.total += p.tokens
		k.parts.Add(paths[n], p)
	}
	for {
		_, oldest, ok := k.parts.GetOldest()
		if !ok || k.total <= capacity && !oldest.isExpired(now) {
			return
		}
		k.parts.RemoveOldest()
	}
}

// tokens returns the number of tokens at the beginning of a prompt that the engine probably
// still keeps.
func (k *keptPrompts) tokens(key bamboorail.AdapterKey, prompt []bamboorail.PromptPart, now time.Time) int {
	if k.parts.Len() == 0 {
		return 0
	}
	shared, sum := sharedParts(prompt), 0
	for n, path := range pathsOf(key, shared) {
		p, ok := k.parts.Peek(path)
		if !ok || p.isExpired(now) {
			break
		}
		sum += min(p.tokens, max(shared[n].Tokens, 0))
	}
	return sum
}

func (p keptPart) isExpired(now time.Time) bool { return now.Sub(p.usedAt) > maxKeptAge }

// sharedParts returns the parts of a prompt that other calls may use.
func sharedParts(prompt []bamboorail.PromptPart) []bamboorail.PromptPart {
	return prompt[:max(len(prompt)-1, 0)]
}

// pathsOf yields the path of each part of a prompt for an adapter.
func pathsOf(key bamboorail.AdapterKey, parts []bamboorail.PromptPart) iter.Seq2[int, partPath] {
	return func(yield func(int, partPath) bool) {
		if len(parts) == 0 {
			return
		}
		path := pathAfter(pathAfter(0, key.Model), key.Adapter)
		for n, p := range parts {
			path = pathAfter(path, p.ID)
			if !yield(n, path) {
				return
			}
		}
	}
}

// pathAfter returns the path that continues another one with a name.
func pathAfter(path partPath, name string) partPath {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(path))
	_, _ = d.WriteString(name) // never fails
	return partPath(d.Sum64())
}

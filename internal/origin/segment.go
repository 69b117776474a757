package origin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// segmentTime is the time for which origins are added to one segment. The segments
	// of a zone are overwritten in turn, after the lifetime of their streams.
	segmentTime  = 5 * time.Second
	segmentCount = int(bamboorail.StreamLifetime/segmentTime) + 1
	// maxSegmentStreams keeps a segment below 0.6 MB; values may have 1 MB.
	maxSegmentStreams = 50_000
	streamIDBytes     = 8
)

// segment is an object of the store with the streams that began in one zone within
// segmentTime.
type segment struct {
	sequence uint64
	streams  batch
}

type wireSegment struct {
	Sequence uint64        `json:"sequence"`
	Origins  []wireOrigins `json:"origins"`
}

type wireOrigins struct {
	Service  string `json:"service"`
	Software string `json:"software"`
	// Streams are the hashes of the calls that began the streams, in base64.
	Streams string `json:"streams"`
}

var errSegmentLength = errors.New("the list of streams has an invalid length")

// segmentKey returns the key of the segment with a sequence number.
func segmentKey(kind, zone string, sequence uint64) string {
	return fmt.Sprintf("%s%d", segmentPrefix(kind, zone), sequence%uint64(segmentCount))
}

func segmentPrefix(kind, zone string) string { return kind + "/" + zone + "." }

// isSegmentOf reports whether key is a segment of the zone.
func isSegmentOf(key, kind, zone string) bool {
	number, ok := strings.CutPrefix(key, segmentPrefix(kind, zone))
	return ok && !strings.Contains(number, ".")
}

func (s segment) encode() ([]byte, error) {
	w := wireSegment{Sequence: s.sequence, Origins: make([]wireOrigins, 0, len(s.streams))}
	for o, streams := range s.streams {
		data := make([]byte, 0, streamIDBytes*len(streams))
		for _, id := range slices.Compact(slices.Sorted(slices.Values(streams))) {
			data = binary.BigEndian.AppendUint64(data, uint64(id))
		}
		w.Origins = append(w.Origins, wireOrigins{Service: o.Service, Software: o.Software, Streams: base64.StdEncoding.EncodeToString(data)})
	}
	return json.Marshal(w)
}

func decodeSegment(data []byte) (segment, error) {
	var w wireSegment
	if err := json.Unmarshal(data, &w); err != nil {
		return segment{}, err
	}
	s := segment{sequence: w.Sequence, streams: batch{}}
	for _, list := range w.Origins {
		streams, err := base64.StdEncoding.DecodeString(list.Streams)
		if err != nil {
			return segment{}, err
		}
		if len(streams)%streamIDBytes != 0 {
			return segment{}, errSegmentLength
		}
		o := bamboorail.StreamOrigin{Service: list.Service, Software: list.Software}
		for ; len(streams) > 0; streams = streams[streamIDBytes:] {
			s.streams[o] = append(s.streams[o], streamID(binary.BigEndian.Uint64(streams)))
		}
	}
	return s, nil
}

package admission

import "time"

// Delays of messages, in microseconds.
const (
	sameZoneLatency  = 200 // one way
	crossZoneLatency = 2 * millisecond
	minGossipDelay   = 2 * millisecond
	maxGossipDelay   = 34 * millisecond
	minListDelay     = 25 * millisecond
	maxListDelay     = 110 * millisecond
	listCutDelay     = 2 * second // additional delay of a list that crosses zones during a cut
	dialTimeout      = 250 * millisecond
)

// zone is one of the two zones.
type zone int

const (
	zoneCount = 2
	listZone  = zone(0) // the zone of the list service
)

var zoneNames = []string{"north", "south"}

func (z zone) String() string { return zoneNames[z] }

// latency returns the delay of a message between two zones.
func latency(from, to zone) int64 {
	if from == to {
		return sameZoneLatency
	}
	return crossZoneLatency
}

// cut is the period in which messages between the zones are lost.
type cut struct{ from, until int64 }

// newCut returns the cut of a run; its length may be 0.
func newCut(length time.Duration) cut {
	from := startTime + warmupTime + timeToCut
	return cut{from, from + length.Microseconds()}
}

// separates reports whether a message that is sent at the time now between two zones is lost.
func (c cut) separates(now int64, from, to zone) bool {
	return from != to && now >= c.from && now < c.until
}

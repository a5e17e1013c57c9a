package admission

import (
	"fmt"
	"strings"

	"topazfall"
)

// ReasonCount is the number of rejections with one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// reasonCounter counts rejections by reason.
type reasonCounter [topazfall.RejectReasonCount]int

// list returns the reasons that occurred, in the order of their constants.
func (c *reasonCounter) list() (counts []ReasonCount) {
	for reason, count := range c {
		if count > 0 {
			counts = append(counts, ReasonCount{topazfall.RejectReason(reason).String(), count})
		}
	}
	return counts
}

// reasonText lists reasons with their numbers.
func reasonText(counts []ReasonCount) string {
	var parts []string
	for _, c := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", c.Reason, c.Count))
	}
	return strings.Join(parts, ", ")
}

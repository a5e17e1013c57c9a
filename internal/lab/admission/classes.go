package admission

import "topazfall"

// jobClass is a class of requests and the distribution of its work.
type jobClass struct {
	topazfall.Class
	share    float64 // of all requests
	meanWork int64   // on a standard core
	workCV   float64 // coefficient of variation of the work
}

// jobClasses returns the classes of a set.
func jobClasses(set ClassSet) []jobClass {
	if set == Short {
		return []jobClass{{share: 1, meanWork: 30 * millisecond, workCV: 0.45,
			Class: topazfall.Class{Name: "short", Deadline: second, Aim: 200 * millisecond, Stretch: 2, Worth: 1,
				Repeat: topazfall.Safe}}}
	}
	return []jobClass{
		{share: 0.7, meanWork: 900 * millisecond, workCV: 0.45,
			Class: topazfall.Class{Name: "keyed", Deadline: 10 * second, Aim: 750 * millisecond, Stretch: 2, Worth: 5,
				Repeat: topazfall.Keyed, Group: topazfall.GroupAll, Window: 15 * second}},
		{share: 0.3, meanWork: 1800 * millisecond, workCV: 0.5,
			Class: topazfall.Class{Name: "unsafe", Deadline: 20 * second, Aim: 500 * millisecond, Stretch: 1.75,
				Worth: 3, Repeat: topazfall.Unsafe}},
	}
}

// meanWork returns the mean work of a request over all classes, in microseconds of a standard core.
func meanWork(classes []jobClass) (mean float64) {
	for _, c := range classes {
		mean += c.share * float64(c.meanWork)
	}
	return mean
}

// maxDeadline returns the longest deadline of the classes.
func maxDeadline(classes []jobClass) (longest int64) {
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// fullWorthUntil returns the time until which an answer to a request has its full worth.
func (c *jobClass) fullWorthUntil(arrivedAt, work int64) int64 {
	return arrivedAt + c.Aim + int64(c.Stretch*float64(work))
}

package configmodel

import "topazfall/internal/decide/configlog"

// crash stops an instance without notice. After the downtime it starts again, with the state on its disk or with none.
func (m *Model) crash(inst *instance, downtime int64, keepsDisk bool) {
	if inst.down {
		return
	}
	inst.down, inst.frozen = true, false
	if !keepsDisk {
		inst.saved, inst.appliedNumber = configlog.SavedState{}, 0
	}
	m.schedule(downtime, func() {
		inst.lastFaultAt = m.now
		if err := m.start(inst, false); err != nil && m.violation == nil {
			m.violation = err
		}
	})
}

// freeze suspends an instance for a duration. Messages that arrive meanwhile are handled together when it resumes.
func (m *Model) freeze(inst *instance, duration int64) {
	if inst.down || inst.frozen {
		return
	}
	inst.frozen = true
	m.schedule(duration, func() {
		if !inst.frozen {
			return
		}
		inst.frozen, inst.lastFaultAt = false, m.now
		queued := inst.queued
		inst.queued = nil
		for _, message := range queued {
			m.execute(inst, inst.node.Handle(m.now, message))
		}
	})
}

// cutOneWay drops all messages to an instance, or all from it, for a duration.
func (m *Model) cutOneWay(inst *instance, duration int64, inbound bool) {
	setCut := func(cut bool) {
		if inbound {
			inst.inboundCut = cut
		} else {
			inst.outboundCut = cut
		}
		inst.lastFaultAt = m.now
	}
	setCut(true)
	m.schedule(duration, func() { setCut(false) })
}

// setRegionCut begins or ends a partition between a region and all others.
func (m *Model) setRegionCut(region string, cut bool) {
	for _, inst := range m.instances {
		if inst.Region == region {
			inst.regionCut, inst.lastFaultAt = cut, m.now
		}
	}
}

// isReachable reports whether an instance could have received everything since a time: it has been up, not frozen and
// not cut off all along.
func (inst *instance) isReachable(since int64) bool {
	return !inst.down && !inst.frozen && !inst.inboundCut && !inst.outboundCut && !inst.regionCut &&
		inst.lastFaultAt <= since
}

// drawInstances draws instances of these roles, each with the same probability.
func (m *Model) drawInstances(probability float64, roles ...configlog.Role) (drawn []*instance) {
	for _, inst := range m.instances {
		for _, role := range roles {
			if inst.Role == role && m.random.Float64() < probability {
				drawn = append(drawn, inst)
			}
		}
	}
	return drawn
}

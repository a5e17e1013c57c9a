package configmodel

import "topazfall/internal/decide/configlog"

// stop ends a member without a word, for as long; it starts again from its disk, or from nothing.
func (m *Model) stop(i *member, d int64, keepsDisk bool) {
	if i.down {
		return
	}
	i.down, i.frozen = true, false
	if !keepsDisk {
		i.saved, i.held = configlog.SavedState{}, 0
	}
	m.after(d, func() {
		i.troubled = m.now
		if err := m.start(i, false); err != nil && m.fault == nil {
			m.fault = err
		}
	})
}

// freeze stops a member between any two steps and wakes it later; what has come meanwhile comes at once.
func (m *Model) freeze(i *member, d int64) {
	if i.down || i.frozen {
		return
	}
	i.frozen = true
	m.after(d, func() {
		if !i.frozen {
			return
		}
		i.frozen, i.troubled = false, m.now
		waiting := i.waiting
		i.waiting = nil
		for _, message := range waiting {
			m.carryOut(i, i.node.Handle(m.now, message))
		}
	})
}

// cutOneWay lets a member hear nothing, or be heard by nobody.
func (m *Model) cutOneWay(i *member, d int64, deaf bool) {
	set := func(on bool) {
		if deaf {
			i.deaf = on
		} else {
			i.mute = on
		}
		i.troubled = m.now
	}
	set(true)
	m.after(d, func() { set(false) })
}

// cutRegion lets a region and the others lose each other.
func (m *Model) cutRegion(region string, on bool) {
	for _, i := range m.members {
		if i.Region == region {
			i.cut, i.troubled = on, m.now
		}
	}
}

// reachable tells whether a member could have had what was committed since a time: it was up, awake and joined all
// along.
func (i *member) reachable(since int64) bool {
	return !i.down && !i.frozen && !i.deaf && !i.mute && !i.cut && i.troubled <= since
}

// some draws members with a role, each with a probability.
func (m *Model) some(share float64, roles ...configlog.Role) (drawn []*member) {
	for _, i := range m.members {
		for _, role := range roles {
			if i.Role == role && m.random.Float64() < share {
				drawn = append(drawn, i)
			}
		}
	}
	return drawn
}

package dispatch

// Classes and tenants, and the change of settings.

import (
	"slices"

	"topazfall"
	"topazfall/internal/exchange"
)

// classOf returns the class of a message that arrives. It may have been read with earlier settings, by which it must
// not run twice.
func (c *Core) classOf(x *exchange.Exchange) *topazfall.Class {
	class := &c.classes[x.Class]
	if x.Once && class.Repeat != topazfall.Unsafe {
		once := *class
		once.Repeat = topazfall.Unsafe
		return &once
	}
	return class
}

// resumedClass returns the class of a message that another process has begun: the one that it has there, even if the
// class of its name is another one by the settings here. As after a reload, a stricter repeat rule of the settings
// applies. A version that looked the class up by its name still tells whether the message must not run twice.
func (c *Core) resumedClass(message *InFlightMessage) *topazfall.Class {
	class := message.ClassIs
	if message.Once {
		class.Repeat = topazfall.Unsafe
	}
	for _, current := range c.settings.Classes {
		if current.Name == class.Name {
			class = class.Tightened(current)
		}
	}
	return &class
}

// indexOf returns the index of a class by its name. A class that is not known is added.
func (c *Core) indexOf(class *topazfall.Class) int {
	hasName := func(other topazfall.Class) bool { return other.Name == class.Name }
	if !slices.ContainsFunc(c.classes, hasName) {
		c.addClasses([]topazfall.Class{*class})
	}
	return slices.IndexFunc(c.classes, hasName)
}

// applyClass sets the fields of a message that depend on its class.
func (c *Core) applyClass(x *exchange.Exchange, class *topazfall.Class) {
	x.Once = x.Once || class.Repeat == topazfall.Unsafe
	x.FreshConnOnly = class.Repeat != topazfall.Safe || !c.settings.Allowed.HedgedRequests
	x.SetRepeatLimit(c.repeatLimit(class))
}

// repeatLimit returns how long after an attempt that may have run another attempt of the class may start. As in the
// module, a repeat of a keyed class must start at least two ticks before its window ends.
func (c *Core) repeatLimit(class *topazfall.Class) exchange.RepeatLimit {
	switch class.Repeat {
	case topazfall.Unsafe:
		return exchange.RepeatLimit{Bounded: true}
	case topazfall.Keyed:
		return exchange.RepeatLimit{Bounded: true, Within: class.Window - 2*c.settings.Tick}
	}
	return exchange.RepeatLimit{}
}

// Indices maps the names of classes and tenants to their indices. A name keeps its index until the process ends, so
// that messages read with earlier settings, and messages in flight, keep their class and tenant.
type Indices struct{ Classes, Tenants map[string]int }

// NewIndices returns the indices for the first settings of a process.
func NewIndices(settings *topazfall.Settings) Indices {
	return newIndices(settings.Classes, settings.Tenants)
}

func newIndices(classes []topazfall.Class, tenants []topazfall.Tenant) Indices {
	indices := Indices{map[string]int{}, map[string]int{}}
	for i, class := range classes {
		indices.Classes[class.Name] = i
	}
	for i, tenant := range tenants {
		indices.Tenants[tenant.Name] = i
	}
	return indices
}

// UpdateSettings replaces the settings and returns the indices of all classes and tenants known so far.
func (c *Core) UpdateSettings(settings topazfall.Settings) Indices {
	return await(c, func() Indices {
		c.settings, c.tenants = settings, topazfall.MergeTenants(c.tenants, settings.Tenants)
		c.addClasses(settings.Classes)
		c.tightenRepeats()
		return newIndices(c.classes, c.tenants)
	})
}

// tightenRepeats applies stricter repeat rules of new settings to the messages in flight. An attempt that was decided
// before may still wait for its connection.
func (c *Core) tightenRepeats() {
	for _, x := range c.byNumber {
		class, known := c.balancer.ClassOf(x.Number)
		for i := range c.settings.Classes {
			if newer := &c.settings.Classes[i]; known && newer.Name == class.Name && newer.Repeat > class.Repeat {
				x.SetRepeatLimit(c.repeatLimit(newer))
			}
		}
	}
}

// addClasses adds classes to those known, and passes the settings to the module.
func (c *Core) addClasses(added []topazfall.Class) {
	c.classes = topazfall.MergeClasses(c.classes, added)
	for _, class := range added {
		c.metrics.AddClasses(class.Name)
	}
	settings := c.settings
	settings.Classes, settings.Tenants = c.classes, c.tenants
	c.queueEvent(topazfall.Event{Kind: topazfall.NewSettings, Settings: &settings})
}

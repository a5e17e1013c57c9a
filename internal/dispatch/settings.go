package dispatch

// Classes and tenants, and the change of settings.

import (
	"topazfall"
	"topazfall/internal/exchange"
)

// applyClass sets the fields of a message that depend on its class by the current settings, which the module uses too.
func (c *Core) applyClass(x *exchange.Exchange) {
	class := &c.classes[x.Class]
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
	done := make(chan Indices)
	c.ops <- func() {
		c.settings, c.tenants = settings, topazfall.MergeTenants(c.tenants, settings.Tenants)
		c.addClasses(settings.Classes)
		done <- newIndices(c.classes, c.tenants)
	}
	return <-done
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

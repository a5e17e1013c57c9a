package dispatch

// Classes and tenants, and what changes with other settings.

import (
	"topazfall"
	"topazfall/internal/exchange"
)

// class marks a message by its class as the settings of now have it, by which the module goes as well.
func (c *Core) class(x *exchange.Exchange) {
	k := &c.classes[x.Class]
	x.Once = x.Once || k.Repeat == topazfall.Unsafe
	x.Own = k.Repeat != topazfall.Safe || !c.settings.Allowed.SecondCopies
	x.LimitRepeats(c.repeats(k))
}

// repeats says when an attempt of a class may follow another that may have run. As in the module a repeat of a keyed
// class must begin two ticks before its window ends.
func (c *Core) repeats(k *topazfall.Class) exchange.Repeats {
	switch k.Repeat {
	case topazfall.Unsafe:
		return exchange.Repeats{Bounded: true}
	case topazfall.Keyed:
		return exchange.Repeats{Bounded: true, Within: k.Window - 2*c.settings.Tick}
	}
	return exchange.Repeats{}
}

// Indices say by which number classes and tenants go here, by name. A name keeps its number for as long as the process
// runs: what is read by the settings before, and what is in hand, is still of the same class and tenant.
type Indices struct{ Classes, Tenants map[string]int }

// IndicesOf numbers the classes and tenants of a first settings.
func IndicesOf(s *topazfall.Settings) Indices { return number(s.Classes, s.Tenants) }

func number(classes []topazfall.Class, tenants []topazfall.Tenant) Indices {
	n := Indices{map[string]int{}, map[string]int{}}
	for i, k := range classes {
		n.Classes[k.Name] = i
	}
	for i, t := range tenants {
		n.Tenants[t.Name] = i
	}
	return n
}

// Renew goes on with other settings.
func (c *Core) Renew(s topazfall.Settings) Indices {
	done := make(chan Indices)
	c.ops <- func() {
		c.settings, c.tenants = s, topazfall.AppendTenants(c.tenants, s.Tenants)
		c.addClasses(s.Classes)
		done <- number(c.classes, c.tenants)
	}
	return <-done
}

// addClasses makes classes known, to the module as well.
func (c *Core) addClasses(now []topazfall.Class) {
	c.classes = topazfall.AppendClasses(c.classes, now)
	for _, k := range now {
		c.metrics.AddClasses(k.Name)
	}
	s := c.settings
	s.Classes, s.Tenants = c.classes, c.tenants
	c.feed(topazfall.Event{Kind: topazfall.NewSettings, Settings: &s})
}

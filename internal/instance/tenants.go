package instance

import (
	"slices"
	"sync"

	"topazfall"
)

// tenantSettings are the settings of the configuration, and the tenants that an extension brings beside them.
type tenantSettings struct {
	mu         sync.Mutex
	configured topazfall.Settings
	tenants    []topazfall.Tenant
}

// renewConfigured brings the settings of the configuration into force, with the tenants that an extension has set.
func (h *handover) renewConfigured(configured topazfall.Settings) {
	h.settings.mu.Lock()
	defer h.settings.mu.Unlock()
	h.settings.configured = configured
	h.renew()
}

// setTenants brings an extension's tenants into force.
func (h *handover) setTenants(tenants []topazfall.Tenant) {
	h.settings.mu.Lock()
	defer h.settings.mu.Unlock()
	if slices.Equal(h.settings.tenants, tenants) {
		return
	}
	h.settings.tenants = tenants
	h.renew()
}

// renew brings the settings into force; h.settings.mu is held.
func (h *handover) renew() {
	now := h.settings.configured
	now.Tenants = slices.Clone(now.Tenants)
	for _, t := range h.settings.tenants {
		named := func(other topazfall.Tenant) bool { return other.Name == t.Name }
		if i := slices.IndexFunc(now.Tenants, named); i >= 0 {
			now.Tenants[i] = t
		} else {
			now.Tenants = append(now.Tenants, t)
		}
	}
	// The core first: no class may come that it does not know.
	h.clients.ApplySettings(&now, h.core.UpdateSettings(now))
}

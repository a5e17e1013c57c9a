package instance

import (
	"slices"
	"sync"

	"topazfall"
)

// tenantSettings holds the configured settings, and the tenants that an extension adds to them.
type tenantSettings struct {
	mu         sync.Mutex
	configured topazfall.Settings
	tenants    []topazfall.Tenant
}

// applyConfigured applies the configured settings, together with the tenants that an extension has set.
func (h *handover) applyConfigured(configured topazfall.Settings) {
	h.settings.mu.Lock()
	defer h.settings.mu.Unlock()
	h.settings.configured = configured
	h.applySettings()
}

// setTenants applies an extension's tenants.
func (h *handover) setTenants(tenants []topazfall.Tenant) {
	h.settings.mu.Lock()
	defer h.settings.mu.Unlock()
	if slices.Equal(h.settings.tenants, tenants) {
		return
	}
	h.settings.tenants = tenants
	h.applySettings()
}

// applySettings applies the settings. A tenant of the extension replaces a configured one of the same name. The caller
// holds h.settings.mu.
func (h *handover) applySettings() {
	settings := h.settings.configured
	settings.Tenants = slices.Clone(settings.Tenants)
	for _, t := range h.settings.tenants {
		hasName := func(other topazfall.Tenant) bool { return other.Name == t.Name }
		if i := slices.IndexFunc(settings.Tenants, hasName); i >= 0 {
			settings.Tenants[i] = t
		} else {
			settings.Tenants = append(settings.Tenants, t)
		}
	}
	// The core comes first: no message may arrive with a class that the core does not know.
	h.server.ApplySettings(&settings, h.core.UpdateSettings(settings))
}

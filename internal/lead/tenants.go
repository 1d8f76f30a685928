package lead

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"laburnumdock/internal/core/manager"
)

const (
	// maxTenantMetrics bounds the tenants with metrics. Of more, those with the largest
	// weights have some.
	maxTenantMetrics = 64
	// tenantMetricsInterval is the time between two updates of the metrics of tenants.
	tenantMetricsInterval = time.Second
)

// tenantMetrics shows what tenants use and may use. The control loop owns it.
type tenantMetrics struct {
	registry  metrics.Registry
	updatedAt time.Time
	// names are the names of the registered metrics.
	names map[string]bool
}

// updateIfDue sets the metrics from what usages returns.
func (m *tenantMetrics) updateIfDue(usages func(time.Time) []manager.TenantUsage, now time.Time) {
	if now.Sub(m.updatedAt) >= tenantMetricsInterval {
		m.updatedAt = now
		m.set(usages(now))
	}
}

// set sets the metrics and removes those of tenants that are not in the list.
func (m *tenantMetrics) set(list []manager.TenantUsage) {
	if len(list) == 0 && len(m.names) == 0 {
		return
	}
	if len(list) > maxTenantMetrics {
		slices.SortStableFunc(list, func(a, b manager.TenantUsage) int { return cmp.Compare(b.Weight, a.Weight) })
		list = list[:maxTenantMetrics]
	}
	outdated := m.names
	m.names = make(map[string]bool, len(outdated))
	for _, u := range list {
		for _, value := range []struct {
			name  string
			value float64
		}{
			{"cpu_in_use_millicores", float64(u.InUse.CPU)},
			{"cpu_limit_millicores", float64(u.Limit.CPU)},
			{"memory_in_use_megabytes", float64(u.InUse.MemoryMB)},
			{"memory_limit_megabytes", float64(u.Limit.MemoryMB)},
			{"accelerators_in_use", float64(u.InUse.Accelerators)},
			{"accelerators_limit", float64(u.Limit.Accelerators)},
			{"entitlement_hosts", u.Entitlement},
		} {
			name := fmt.Sprintf("tenant_%s{tenant=%q}", value.name, u.Name)
			metrics.GetOrRegisterGaugeFloat64(name, m.registry).Update(value.value)
			delete(outdated, name)
			m.names[name] = true
		}
	}
	for name := range outdated {
		m.registry.Unregister(name)
	}
}

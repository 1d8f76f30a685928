// Package share divides capacity among tenants and counts what their runs use.
package share

import (
	"cmp"
	"math"
	"slices"
)

// Claim is what a tenant may claim of some capacity.
type Claim struct {
	Tenant string
	// Weight is the tenant's part relative to the weights of the others. A weight that is
	// not a positive number counts as 1.
	Weight float64
	// Demand is what the tenant uses and wants, in the unit of the capacity.
	Demand float64
}

// weight returns the weight to compute with.
func (c Claim) weight() float64 {
	if c.Weight > 0 && !math.IsInf(c.Weight, 1) {
		return c.Weight
	}
	return 1
}

// demand returns the demand to compute with.
func (c Claim) demand() float64 {
	if c.Demand > 0 {
		return c.Demand
	}
	return 0
}

// Entitle divides capacity by weighted max-min fairness and returns the part of each claim,
// in the order of the claims. Nobody gets more than the demand; what some do not need goes to
// the others, in proportion to their weights.
func Entitle(capacity float64, claims []Claim) []float64 {
	parts := make([]float64, len(claims))
	order := make([]int, len(claims))
	weights := 0.0
	for i := range claims {
		order[i] = i
		weights += claims[i].weight()
	}
	// Claims that need the least for their weight are satisfied first, and the rest is
	// divided among the others.
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].demand()/claims[a].weight(), claims[b].demand()/claims[b].weight())
	})
	left := max(capacity, 0)
	for _, i := range order {
		w := claims[i].weight()
		parts[i] = min(claims[i].demand(), left*min(w/weights, 1))
		left = max(left-parts[i], 0)
		weights -= w
	}
	return parts
}

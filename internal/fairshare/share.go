// Package fairshare divides a pool among customers: whose turn it is when the pool is full
// (weighted dominant resource fairness, Ghodsi et al., NSDI 2011), and which jobs exceed
// what their customer is entitled to submit. It does no I/O and reads no clock.
package fairshare

import (
	"math"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
)

// Share returns the dominant share of an amount: the larger part that it takes of a pool's
// processor and memory.
func Share(used, capacity job.Resources) float64 {
	return max(fraction(used.CPU, capacity.CPU), fraction(used.MemoryMB, capacity.MemoryMB))
}

func fraction(used, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// TasksUntil returns how many equal tasks, each with the given need, a customer has to
// start until its share exceeds a limit, at least one.
func TasksUntil(limit float64, used, need, capacity job.Resources) int {
	return max(1, min(
		unitsUntil(limit, used.CPU, need.CPU, capacity.CPU),
		unitsUntil(limit, used.MemoryMB, need.MemoryMB, capacity.MemoryMB),
	))
}

func unitsUntil(limit float64, used, need, capacity int) int {
	if need <= 0 || capacity <= 0 {
		return math.MaxInt
	}
	units := (limit*float64(capacity) - float64(used)) / float64(need)
	if units >= math.MaxInt32 {
		return math.MaxInt
	}
	return int(math.Floor(units)) + 1
}

// Weights are the weights of the customers of one version of the configuration.
type Weights struct {
	byID map[customer.ID]float64
	mean float64
}

// NewWeights returns the weights of a directory's customers.
func NewWeights(d *customer.Directory) Weights {
	w := Weights{byID: map[customer.ID]float64{}}
	sum := 0.0
	for _, c := range d.All() {
		if c.Weight > 0 {
			w.byID[c.ID] = c.Weight
			sum += c.Weight
		}
	}
	w.mean = 1
	if len(w.byID) > 0 {
		w.mean = sum / float64(len(w.byID))
	}
	return w
}

// Of returns the weight of a customer. Work of no customer, and customers that are not in
// the directory or have no positive weight there, have the mean weight of the others.
func (w Weights) Of(id customer.ID) float64 {
	if weight, ok := w.byID[id]; ok {
		return weight
	}
	if w.mean > 0 {
		return w.mean
	}
	return 1
}

package limits

import "greengagedeck/internal/job"

// resourceCount is the number of resources that a limit covers.
const resourceCount = 3

// amounts holds an amount of each resource, in the order of the fields of job.Resources. In
// the state of a customer, amounts of resources without a limit are 0, so that they compare
// equal to their limit everywhere.
type amounts [resourceCount]int

func amountsOf(r job.Resources) amounts { return amounts{r.CPU, r.MemoryMB, r.GPU} }

func (a amounts) resources() job.Resources {
	return job.Resources{CPU: a[0], MemoryMB: a[1], GPU: a[2]}
}

func (a amounts) plus(b amounts) amounts {
	for r := range a {
		a[r] += b[r]
	}
	return a
}

// minus returns the difference, which may be negative.
func (a amounts) minus(b amounts) amounts {
	for r := range a {
		a[r] -= b[r]
	}
	return a
}

// over returns how much a exceeds b in each resource.
func (a amounts) over(b amounts) amounts {
	for r := range a {
		a[r] = max(0, a[r]-b[r])
	}
	return a
}

func (a amounts) atLeast(b amounts) amounts {
	for r := range a {
		a[r] = max(a[r], b[r])
	}
	return a
}

func (a amounts) atMost(b amounts) amounts {
	for r := range a {
		a[r] = min(a[r], b[r])
	}
	return a
}

// limitedBy returns a with 0 for the resources that limit leaves unlimited.
func (a amounts) limitedBy(limit amounts) amounts {
	for r := range a {
		if limit[r] == 0 {
			a[r] = 0
		}
	}
	return a
}

// fitsIn reports whether a is at most b in every resource.
func (a amounts) fitsIn(b amounts) bool {
	return a[0] <= b[0] && a[1] <= b[1] && a[2] <= b[2]
}

// valid reports whether no amount is negative or too large to count with.
func (a amounts) valid() bool { return a.resources().Validate() == nil }

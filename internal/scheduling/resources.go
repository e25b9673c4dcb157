package scheduling

// thousandthsPerUnit is the number that one CPU, one GPU or one GB has in a Resources field.
const thousandthsPerUnit = 1000

// Resources holds an amount of each resource, in thousandths of a CPU, of a GPU and of a GB.
type Resources struct{ CPU, GPU, RAM int64 }

// NewResources converts numbers of CPUs, GPUs and GB, rounded to the nearest thousandth.
func NewResources(cpu, gpu, ram float64) Resources {
	return Resources{toThousandths(cpu), toThousandths(gpu), toThousandths(ram)}
}

func toThousandths(amount float64) int64 {
	const roundToNearest = 0.5
	return int64(amount*thousandthsPerUnit + roundToNearest)
}

// Plus returns a plus b.
func (a Resources) Plus(b Resources) Resources {
	return Resources{a.CPU + b.CPU, a.GPU + b.GPU, a.RAM + b.RAM}
}

// Minus returns a minus b. Fields of the result may be negative.
func (a Resources) Minus(b Resources) Resources {
	return Resources{a.CPU - b.CPU, a.GPU - b.GPU, a.RAM - b.RAM}
}

// Times returns a multiplied by n.
func (a Resources) Times(n int) Resources {
	return Resources{a.CPU * int64(n), a.GPU * int64(n), a.RAM * int64(n)}
}

// Contains reports whether a has at least as much of each resource as b.
func (a Resources) Contains(b Resources) bool {
	return a.CPU >= b.CPU && a.GPU >= b.GPU && a.RAM >= b.RAM
}

// CountFitting returns how many pieces of a size fit into a, at most limit. It returns zero if
// a field of a is negative. A resource of which size is zero doesn't restrict the count.
func (a Resources) CountFitting(size Resources, limit int) int {
	if a.CPU < 0 || a.GPU < 0 || a.RAM < 0 {
		return 0
	}
	count := int64(limit)
	count = limitByAmount(count, a.CPU, size.CPU)
	count = limitByAmount(count, a.GPU, size.GPU)
	count = limitByAmount(count, a.RAM, size.RAM)
	return int(count)
}

// limitByAmount returns the lesser of count and the number of times that size fits into amount.
// A size of zero doesn't restrict count.
func limitByAmount(count, amount, size int64) int64 {
	if size <= 0 {
		return count
	}
	return min(count, amount/size)
}

// clampToZero returns a with its negative fields set to zero.
func (a Resources) clampToZero() Resources {
	return Resources{max(a.CPU, 0), max(a.GPU, 0), max(a.RAM, 0)}
}

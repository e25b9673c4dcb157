package scheduling

// thousandths is how many units of a Resources field make one CPU, one GPU or one GB.
const thousandthsPerUnit = 1000

// Resources is an amount of each resource, in thousandths of a CPU, a GPU and a GB.
type Resources struct{ CPU, GPU, RAM int64 }

// NewResources converts whole and fractional amounts, rounding to thousandths.
func NewResources(cpu, gpu, ram float64) Resources {
	return Resources{toThousandths(cpu), toThousandths(gpu), toThousandths(ram)}
}

func toThousandths(amount float64) int64 {
	const roundToNearest = 0.5
	return int64(amount*thousandthsPerUnit + roundToNearest)
}

// Plus returns the sum of a and b.
func (a Resources) Plus(b Resources) Resources {
	return Resources{a.CPU + b.CPU, a.GPU + b.GPU, a.RAM + b.RAM}
}

// Minus returns a less b; fields may become negative.
func (a Resources) Minus(b Resources) Resources {
	return Resources{a.CPU - b.CPU, a.GPU - b.GPU, a.RAM - b.RAM}
}

// Times returns n times a.
func (a Resources) Times(n int) Resources {
	return Resources{a.CPU * int64(n), a.GPU * int64(n), a.RAM * int64(n)}
}

// Contains reports whether b fits into a.
func (a Resources) Contains(b Resources) bool {
	return a.CPU >= b.CPU && a.GPU >= b.GPU && a.RAM >= b.RAM
}

// CountFitting returns how many pieces of the given size fit into a, at most limit.
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

// limitByAmount returns count, or how often size fits into amount if that is less.
func limitByAmount(count, amount, size int64) int64 {
	if size <= 0 {
		return count
	}
	return min(count, amount/size)
}

// clampToZero returns a with zero in place of its negative fields.
func (a Resources) clampToZero() Resources {
	return Resources{max(a.CPU, 0), max(a.GPU, 0), max(a.RAM, 0)}
}

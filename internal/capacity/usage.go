package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// usage is a reading of what the process has used.
type usage struct {
	at     time.Time
	cpu    time.Duration
	allocs uint64
	bytes  uint64
}

func readUsage() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{at: time.Now(), cpu: cpuTime(), allocs: m.Mallocs, bytes: m.TotalAlloc}
}

func (u usage) since(before usage) spent {
	return spent{
		wall: u.at.Sub(before.at), cpu: u.cpu - before.cpu,
		allocs: float64(u.allocs - before.allocs), bytes: float64(u.bytes - before.bytes),
	}
}

// spent is the difference of two readings.
type spent struct {
	wall, cpu     time.Duration
	allocs, bytes float64
}

// heldBytes returns the memory held by live objects and stacks.
func heldBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// perCall runs f repeatedly for at least a time and returns the processor
// time and the allocations of one call. The machine's other users do not
// count.
func perCall(least time.Duration, f func()) (cpu time.Duration, allocs float64) {
	f()
	runtime.GC()
	calls := 0
	before := readUsage()
	for batch := 1; ; batch *= 2 {
		for range batch {
			f()
		}
		calls += batch
		now := readUsage().since(before)
		if now.cpu >= least || now.wall >= 4*least {
			return now.cpu / time.Duration(calls), now.allocs / float64(calls)
		}
	}
}

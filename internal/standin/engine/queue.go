package engine

import "container/heap"

// queue orders waiting attempts by priority, then by arrival.
type queue []*attempt

// before reports whether a is served before b.
func (a *attempt) before(b *attempt) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.arrival < b.arrival
}

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*attempt)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (q *queue) remove(a *attempt) {
	for i, x := range *q {
		if x == a {
			heap.Remove(q, i)
			return
		}
	}
}

package admission

// indexedHeap is a binary min-heap whose items store their index, so that any
// item can be removed or moved in O(log n).
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	*h.index(item) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) remove(item T) {
	i := *h.index(item)
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.fix(h.items[i])
	}
	*h.index(item) = -1
}

func (h *indexedHeap[T]) fix(item T) {
	i := *h.index(item)
	if !h.up(i) {
		h.down(i)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

func (h *indexedHeap[T]) up(i int) bool {
	moved := false
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			break
		}
		h.swap(i, parent)
		i, moved = parent, true
	}
	return moved
}

func (h *indexedHeap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

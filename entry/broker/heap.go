package broker

// heap is a binary heap whose elements store their own position, so that an
// element can be removed, or moved after its key changed, in logarithmic time.
// position returns a pointer to the element's index plus one; 0 means that the
// element is not in the heap.
type heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	position func(T) *int
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) has(x T) bool { return *h.position(x) != 0 }

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	*h.position(x) = len(h.items)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(x T) {
	i := *h.position(x) - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.position(x) = 0
	if i < last {
		h.move(i)
	}
}

// fix restores the heap order after the key of x changed.
func (h *heap[T]) fix(x T) {
	if i := *h.position(x) - 1; i >= 0 {
		h.move(i)
	}
}

func (h *heap[T]) move(i int) {
	if !h.up(i) {
		h.down(i)
	}
}

func (h *heap[T]) up(i int) bool {
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

func (h *heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *heap[T]) swap(i, k int) {
	if i == k {
		return
	}
	h.items[i], h.items[k] = h.items[k], h.items[i]
	*h.position(h.items[i]) = i + 1
	*h.position(h.items[k]) = k + 1
}

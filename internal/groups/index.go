package groups

// index is a hash index. It stores references only; its user compares the referenced values. It
// uses open addressing with linear probing and is split into shards, so that growing moves the
// entries of one shard only.
type index struct {
	shards [shardCount]shard
}

type shard struct {
	slots []uint32 // reference + 1; 0 means free
	n     int
}

const (
	shardCount = 64
	minSlots   = 8
)

func (x *index) shard(h uint64) *shard { return &x.shards[h>>58] }

// find returns the first reference with hash h that same accepts.
func (x *index) find(h uint64, same func(ref uint32) bool) (uint32, bool) {
	s := x.shard(h)
	if s.n == 0 {
		return 0, false
	}
	mask := uint64(len(s.slots) - 1)
	for i := h & mask; s.slots[i] != 0; i = (i + 1) & mask {
		if ref := s.slots[i] - 1; same(ref) {
			return ref, true
		}
	}
	return 0, false
}

// insert adds a reference. hash returns the hash of any reference in the index.
func (x *index) insert(h uint64, ref uint32, hash func(uint32) uint64) {
	s := x.shard(h)
	if 4*(s.n+1) > 3*len(s.slots) {
		s.resize(max(2*len(s.slots), minSlots), hash)
	}
	s.put(h, ref)
	s.n++
}

func (s *shard) put(h uint64, ref uint32) {
	mask := uint64(len(s.slots) - 1)
	i := h & mask
	for s.slots[i] != 0 {
		i = (i + 1) & mask
	}
	s.slots[i] = ref + 1
}

func (s *shard) resize(size int, hash func(uint32) uint64) {
	old := s.slots
	s.slots = make([]uint32, size)
	for _, v := range old {
		if v != 0 {
			s.put(hash(v-1), v-1)
		}
	}
}

// remove deletes a reference and closes the gap instead of leaving a tombstone. Tombstones would
// fill the shard if a list kept changing for weeks.
func (x *index) remove(h uint64, ref uint32, hash func(uint32) uint64) {
	s := x.shard(h)
	if s.n == 0 {
		return
	}
	mask := uint64(len(s.slots) - 1)
	i := h & mask
	for s.slots[i] != ref+1 {
		if s.slots[i] == 0 {
			return
		}
		i = (i + 1) & mask
	}
	for j := i; ; {
		j = (j + 1) & mask
		if s.slots[j] == 0 {
			break
		}
		// An entry at j may move to the gap at i unless its home slot lies between them.
		if home := hash(s.slots[j]-1) & mask; (j-home)&mask >= (j-i)&mask {
			s.slots[i] = s.slots[j]
			i = j
		}
	}
	s.slots[i] = 0
	s.n--
	switch {
	case s.n == 0:
		s.slots = nil
	case len(s.slots) > minSlots && 8*s.n < len(s.slots):
		s.resize(len(s.slots)/4, hash)
	}
}

// replace changes a reference after the referenced value has moved.
func (x *index) replace(h uint64, from, to uint32) {
	s := x.shard(h)
	if s.n == 0 {
		return
	}
	mask := uint64(len(s.slots) - 1)
	for i := h & mask; s.slots[i] != 0; i = (i + 1) & mask {
		if s.slots[i] == from+1 {
			s.slots[i] = to + 1
			return
		}
	}
}

func (x *index) bytes() (n int) {
	for i := range x.shards {
		n += 4 * len(x.shards[i].slots)
	}
	return n
}

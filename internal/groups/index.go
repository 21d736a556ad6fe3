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
func (x *index) find(hash uint64, same func(ref uint32) bool) (uint32, bool) {
	shard := x.shard(hash)
	if shard.n == 0 {
		return 0, false
	}
	mask := uint64(len(shard.slots) - 1)
	for i := hash & mask; shard.slots[i] != 0; i = (i + 1) & mask {
		if ref := shard.slots[i] - 1; same(ref) {
			return ref, true
		}
	}
	return 0, false
}

// insert adds a reference. hash returns the hash of any reference in the index.
func (x *index) insert(h uint64, ref uint32, hash func(uint32) uint64) {
	shard := x.shard(h)
	if 4*(shard.n+1) > 3*len(shard.slots) {
		shard.resize(max(2*len(shard.slots), minSlots), hash)
	}
	shard.put(h, ref)
	shard.n++
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
	shard := x.shard(h)
	if shard.n == 0 {
		return
	}
	mask := uint64(len(shard.slots) - 1)
	i := h & mask
	for shard.slots[i] != ref+1 {
		if shard.slots[i] == 0 {
			return
		}
		i = (i + 1) & mask
	}
	for j := i; ; {
		j = (j + 1) & mask
		if shard.slots[j] == 0 {
			break
		}
		// An entry at j may move to the gap at i unless its home slot lies between them.
		if home := hash(shard.slots[j]-1) & mask; (j-home)&mask >= (j-i)&mask {
			shard.slots[i] = shard.slots[j]
			i = j
		}
	}
	shard.slots[i] = 0
	shard.n--
	switch {
	case shard.n == 0:
		shard.slots = nil
	case len(shard.slots) > minSlots && 8*shard.n < len(shard.slots):
		shard.resize(len(shard.slots)/4, hash)
	}
}

// replace changes a reference after the referenced value has moved.
func (x *index) replace(hash uint64, from, to uint32) {
	shard := x.shard(hash)
	if shard.n == 0 {
		return
	}
	mask := uint64(len(shard.slots) - 1)
	for i := hash & mask; shard.slots[i] != 0; i = (i + 1) & mask {
		if shard.slots[i] == from+1 {
			shard.slots[i] = to + 1
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

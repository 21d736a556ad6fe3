package groups

// index finds entries by a hash. It keeps references only: what they refer to
// is compared by its user. Open addressing with linear probing, split into
// shards so that growth never moves more than one shard's entries at once.
type index struct {
	shards [shardCount]shard
}

type shard struct {
	slots []uint32 // reference + 1; 0: free
	n     int
}

const (
	shardCount = 64
	slotsLeast = 8
)

func (x *index) shard(h uint64) *shard { return &x.shards[h>>58] }

// find returns the first reference under h that same accepts.
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

// insert adds a reference; hash tells that of any reference in the index.
func (x *index) insert(h uint64, ref uint32, hash func(uint32) uint64) {
	s := x.shard(h)
	if 4*(s.n+1) > 3*len(s.slots) {
		s.resize(max(2*len(s.slots), slotsLeast), hash)
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

// remove takes a reference out and closes the gap, so that no grave is left:
// a list that changes for weeks would fill the shard with them.
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
		// What lies at j may fill the gap unless its own place lies between.
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
	case len(s.slots) > slotsLeast && 8*s.n < len(s.slots):
		s.resize(len(s.slots)/4, hash)
	}
}

// replace has the index refer to another place for the same thing.
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

package config

import (
	"time"

	"snowjunction"
	"snowjunction/internal/idlestate"
)

// Idle is the operator file for idle destinations.
type Idle struct {
	Dormancy    idlestate.Config
	ListBytes   int    // maximum size of a list that discovery may send
	ListEntries int    // maximum number of entries of such a list
	StorePath   string // path of the on-disk store for unloaded destinations; empty disables it
	StoreBytes  int64
}

const (
	defaultListMB      = 16
	defaultListEntries = 65536
	defaultStoreMB     = 64
)

// LoadIdle reads the operator file for idle destinations. The defaults depend on the settings s. A
// relative store path is resolved against the file's folder. If the file does not exist, the
// defaults apply.
func LoadIdle(path string, s snowjunction.Settings) (*Idle, error) {
	v, err := readOperatorFile(path, "idle")
	if err != nil {
		return nil, err
	}
	d := idlestate.Default(s)
	for key, to := range map[string]*time.Duration{
		"sleep_after_s": &d.IdleTimeout, "half_life_s": &d.HalfLife, "forget_s": &d.MaxAge, "careful_s": &d.CautiousFor,
	} {
		secondsField(v, key, to)
	}
	d.MaxLoaded = positiveOr(v.GetInt("awake_most"), d.MaxLoaded)
	d.MaxBytes = positiveOr(v.GetInt("memory_kb")<<10, d.MaxBytes)
	d.CautiousFirst = v.GetBool("careful_first")
	return &Idle{
		Dormancy: d, ListBytes: positiveOr(v.GetInt("list_mb"), defaultListMB) << 20,
		ListEntries: positiveOr(v.GetInt("list_entries"), defaultListEntries),
		StorePath:   resolvePath(path, v, "store"), StoreBytes: int64(positiveOr(v.GetInt("store_mb"), defaultStoreMB)) << 20,
	}, nil
}

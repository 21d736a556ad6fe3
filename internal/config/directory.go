package config

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"snowjunction/internal/confidence"
	"snowjunction/internal/core"
	"snowjunction/internal/dircache"
	"snowjunction/internal/plausibility"
)

// Directory is the operator file for the directory: how much of its list is kept on disk, how long
// an old list is trusted, and how much learned state is kept on disk.
type Directory struct {
	Cache       bool // keep the list on disk
	CacheBytes  int  // maximum size of one list snapshot
	Generations int  // number of list snapshots that are kept
	Learn       bool // keep learned state on disk
	LearnBytes  int  // maximum size of the learned state on disk
	core.Directory
}

// Room returns the share of the state folder, in bytes, that is not available to the journal.
func (d *Directory) Room() (n int64) {
	if d.Cache {
		n += dircache.Options{Bytes: d.CacheBytes, Generations: d.Generations}.MaxDiskBytes()
	}
	if d.Learn {
		n += int64(d.LearnBytes)
	}
	return n
}

const (
	defaultCacheKB     = 48
	defaultLearnKB     = 48
	defaultGenerations = 1
)

// LoadDirectory reads the operator file for the directory. If the file does not exist, the defaults
// apply.
func LoadDirectory(path string) (*Directory, error) {
	v, err := readOperatorFile(path, "directory")
	if err != nil {
		return nil, err
	}
	d := &Directory{
		Cache: !v.Exists("cache") || v.GetBool("cache"), CacheBytes: positiveOr(v.GetInt("cache_kb"), defaultCacheKB) << 10,
		Generations: positiveOr(v.GetInt("generations"), defaultGenerations),
		Learn:       !v.Exists("learn") || v.GetBool("learn"), LearnBytes: positiveOr(v.GetInt("learn_kb"), defaultLearnKB) << 10,
		Directory: core.Directory{Confidence: confidence.Default(), Plausibility: plausibility.Default()},
	}
	for key, to := range map[string]*time.Duration{
		"fresh_s": &d.Confidence.FreshFor, "silent_s": &d.Confidence.SilentAfter, "refute_after_s": &d.Confidence.RefuteAfter,
		"agree_s": &d.Plausibility.AgreeFor, "keep_most_s": &d.Plausibility.MaxCollapsed, "recheck_s": &d.Plausibility.Recheck,
		"flap_within_s": &d.Plausibility.FlapWithin, "flap_rest_s": &d.Plausibility.FlapQuiet,
	} {
		secondsField(v, key, to)
	}
	d.Confidence.RefuteFails = positiveOr(v.GetInt("refute_fails"), d.Confidence.RefuteFails)
	t := &d.Plausibility
	t.RetainOmitted = v.GetBool("keep_omitted")
	t.MinEndpoints, t.Agree = positiveOr(v.GetInt("least"), t.MinEndpoints), positiveOr(v.GetInt("agree"), t.Agree)
	t.FlapTurns = positiveOr(v.GetInt("flap_turns"), t.FlapTurns)
	t.MaxLoss, t.RecoveredLoss = positiveOr(v.GetFloat64("loss_most"), t.MaxLoss), positiveOr(v.GetFloat64("loss_back"), t.RecoveredLoss)
	if t.RecoveredLoss >= t.MaxLoss {
		return nil, fmt.Errorf("%s: /loss_back: %g is not under loss_most, %g: the condition would oscillate", path, t.RecoveredLoss, t.MaxLoss)
	}
	return d, nil
}

// secondsField reads a number of seconds, if it is there.
func secondsField(v *fastjson.Value, key string, target *time.Duration) {
	if v.Exists(key) {
		*target = Millis(1000 * v.GetFloat64(key))
	}
}

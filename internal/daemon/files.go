package daemon

import (
	"fmt"

	"snowjunction"
	"snowjunction/internal/config"
	"snowjunction/internal/partition"
	"snowjunction/internal/plugin/manifest"
)

// The operator files, where no variable names others.
const (
	pushFile       = "deploy/push.json"
	idleFile       = "deploy/idle.json"
	pluginsFile    = "deploy/plugins.json"
	directoryFile  = "deploy/directory.json"
	fleetFile      = "deploy/fleet.json"
	partitionsFile = "deploy/partitions.json"
)

// files are what the courier is told, as start, SIGHUP and check read it.
type files struct {
	cfg        *config.Config
	push       *config.Push
	idle       *config.Idle
	plugins    *config.Plugins
	directory  *config.Directory
	fleet      *config.Fleet
	manifests  []*manifest.Manifest
	partitions *config.Partitions
	membership *partition.Membership // nil: destinations are not divided
}

// envOrDefault is what a variable names, or the other.
func envOrDefault(env func(string) string, name, fallback string) string {
	if p := env(name); p != "" {
		return p
	}
	return fallback
}

// DirectoryFile is the path of the operator file for the directory.
func DirectoryFile(env func(string) string) string {
	return envOrDefault(env, "SNOWJUNCTION_DIRECTORY", directoryFile)
}

// partitionsPath is the path of the operator file for partitions.
func partitionsPath(env func(string) string) string {
	return envOrDefault(env, "SNOWJUNCTION_PARTITIONS", partitionsFile)
}

// readFiles reads all files. What is wrong with one is told with its name; the
// others are read all the same. Lists are read by names, those of the
// configuration if that is nil; the membership is made of the one that holds, if any.
func readFiles(env func(string) string, names *config.Names, current *partition.Membership, onError func(file string, err error)) (f files) {
	report := func(file string, err error) {
		if err != nil {
			onError(file, err)
		}
	}
	path := func(name, other string) string { return envOrDefault(env, name, other) }
	settings := snowjunction.Settings{}
	cfg, err := config.Load(env)
	if err == nil {
		f.cfg, settings = cfg, cfg.Settings
		if names == nil {
			names = &cfg.Names
		}
		if _, err = snowjunction.New(settings); err != nil {
			err = fmt.Errorf("configuration %s: %w", env("GW_CONFIG"), err)
		}
	}
	report("configuration", err)
	if names == nil {
		names = &config.Names{}
	}
	file := path("SNOWJUNCTION_PUSH", pushFile)
	f.push, err = config.LoadPush(file, *names)
	report(file, err)
	file = path("SNOWJUNCTION_IDLE", idleFile)
	f.idle, err = config.LoadIdle(file, settings)
	report(file, err)
	file = DirectoryFile(env)
	f.directory, err = config.LoadDirectory(file)
	if err == nil && f.cfg != nil && f.directory.Room() > f.cfg.StateBytes()/2 {
		err = fmt.Errorf("%s: /cache_kb, /generations, /learn_kb: %d bytes are more than half of the folder's %d: the journal needs the rest",
			file, f.directory.Room(), f.cfg.StateBytes())
	}
	report(file, err)
	file = path("SNOWJUNCTION_FLEET", fleetFile)
	f.fleet, err = config.LoadFleet(file)
	report(file, err)
	file = partitionsPath(env)
	f.partitions, err = config.LoadPartitions(file)
	if err == nil && f.cfg != nil {
		if f.membership, err = f.partitions.Membership(f.cfg.Name, current); err != nil {
			err = fmt.Errorf("%s: %w", file, err)
		}
	}
	report(file, err)
	file = path("SNOWJUNCTION_PLUGINS", pluginsFile)
	f.plugins, err = config.LoadPlugins(file)
	report(file, err)
	if err == nil && f.plugins.Folder != "" {
		f.manifests, err = manifest.LoadAll(f.plugins.Folder)
		report(f.plugins.Folder, err)
	}
	return f
}

// readAll is readFiles for whoever needs all of them right: the first mistake is
// the error.
func readAll(env func(string) string, names *config.Names, current *partition.Membership) (f files, err error) {
	f = readFiles(env, names, current, func(_ string, e error) {
		if err == nil {
			err = e
		}
	})
	return f, err
}

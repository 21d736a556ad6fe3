package daemon

import (
	"fmt"

	"snowjunction"
	"snowjunction/internal/config"
	"snowjunction/internal/partition"
	"snowjunction/internal/plugin/manifest"
)

// Default paths of the operator files, used if no environment variable names another.
const (
	pushFile       = "deploy/push.json"
	idleFile       = "deploy/idle.json"
	pluginsFile    = "deploy/plugins.json"
	directoryFile  = "deploy/directory.json"
	fleetFile      = "deploy/fleet.json"
	partitionsFile = "deploy/partitions.json"
)

// files are the decoded configuration and operator files, as read by start, SIGHUP and check.
type files struct {
	cfg        *config.Config
	push       *config.Push
	idle       *config.Idle
	plugins    *config.Plugins
	directory  *config.Directory
	fleet      *config.Fleet
	manifests  []*manifest.Manifest
	partitions *config.Partitions
	membership *partition.Membership // nil if destinations are not divided
}

// withReloadable returns the files that are in force once a reload has applied what it can of the
// given ones: the discovery address, the push front's targets, and the permissions and start timeout
// of plug-ins. Everything else keeps the values of the process's start. The plug-ins themselves and
// the membership are applied separately, as either can be rejected.
func (f files) withReloadable(reloaded files) files {
	cfg, push, plugins := *f.cfg, *f.push, *f.plugins
	cfg.Discovery = reloaded.cfg.Discovery
	push.Targets = reloaded.push.Targets
	plugins.Bodies, plugins.StartWithin = reloaded.plugins.Bodies, reloaded.plugins.StartWithin
	f.cfg, f.push, f.plugins = &cfg, &push, &plugins
	return f
}

// envOrDefault returns the value of an environment variable, or fallback if it is not set.
func envOrDefault(env func(string) string, name, fallback string) string {
	if p := env(name); p != "" {
		return p
	}
	return fallback
}

// DirectoryFile returns the path of the operator file for the directory.
func DirectoryFile(env func(string) string) string {
	return envOrDefault(env, "SNOWJUNCTION_DIRECTORY", directoryFile)
}

// partitionsPath returns the path of the operator file for partitions.
func partitionsPath(env func(string) string) string {
	return envOrDefault(env, "SNOWJUNCTION_PARTITIONS", partitionsFile)
}

// readFiles reads all files. Errors are reported per file to onError and do not stop the others
// from being read. Zone and kind names in lists are resolved by names, or by those of the
// configuration if names is nil. The membership is derived from the current one, if any.
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

// readAll is like readFiles but returns the first error.
func readAll(env func(string) string, names *config.Names, current *partition.Membership) (f files, err error) {
	f = readFiles(env, names, current, func(_ string, e error) {
		if err == nil {
			err = e
		}
	})
	return f, err
}

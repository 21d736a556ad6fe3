package daemon

import (
	"errors"
	"fmt"

	"snowjunction"
	"snowjunction/internal/config"
	"snowjunction/internal/plugin"
	"snowjunction/internal/plugin/manifest"
	"snowjunction/internal/schema"
)

// Check reads everything that a start would read and returns a line for each
// mistake; none: a start would not fail for what it is told. It opens no
// socket and leaves the folder that lasts alone.
func Check(o Options) (mistakes []string) {
	add := func(file string, err error) {
		var m schema.Mistakes
		if errors.As(err, &m) {
			for _, line := range m {
				mistakes = append(mistakes, file+": "+line)
			}
		} else if err != nil {
			mistakes = append(mistakes, err.Error())
		}
	}
	names, settings := config.Names{}, snowjunction.Settings{}
	cfg, err := config.Load(o.Env)
	if err == nil {
		names, settings = cfg.Names, cfg.Settings
		if _, err = snowjunction.New(cfg.Settings); err != nil {
			err = fmt.Errorf("configuration %s: %w", o.Env("GW_CONFIG"), err)
		}
	}
	add("configuration", err)
	file := path(o.Env, "SNOWJUNCTION_PUSH", pushFile)
	push, err := config.LoadPush(file, names)
	add(file, err)
	if err == nil {
		_, _, err = descriptions(push)
		add(file, err)
	}
	file = path(o.Env, "SNOWJUNCTION_IDLE", idleFile)
	_, err = config.LoadIdle(file, settings)
	add(file, err)
	file = path(o.Env, "SNOWJUNCTION_PLUGINS", pluginsFile)
	plugins, err := config.LoadPlugins(file)
	add(file, err)
	if err == nil && plugins.Folder != "" {
		list, err := manifest.LoadAll(plugins.Folder)
		add(plugins.Folder, err)
		for _, m := range list {
			for _, why := range plugin.Check(o.Host, m) {
				mistakes = append(mistakes, m.Dir+": "+why)
			}
		}
	}
	return mistakes
}

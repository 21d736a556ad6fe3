package daemon

import (
	"snowjunction/internal/plugin/manifest"
)

// reloadCallback is called with the outcome of a reload: empty, or why something was not applied.
type reloadCallback func(why string)

// reloader keeps the reloads of a courier in sequence. Files are read by one reload at a time, and
// plug-ins are replaced by one at a time, but files are applied while plug-ins of an earlier reload still
// load: that may take as long as the operator's start_s.
type reloader struct {
	reading   bool             // files are being read
	requested []reloadCallback // of reloads that wait for the files to be read again
	replacing bool             // plug-ins are being replaced
	next      *pluginReload    // the latest plug-ins that came meanwhile; nil if none did
}

// pluginReload is a replacement of the plug-ins.
type pluginReload struct {
	manifests []*manifest.Manifest
	callbacks []reloadCallback
}

// unfinished reports whether a reload is in progress.
func (r *reloader) unfinished() bool { return r.reading || r.replacing }

// reload reads the configuration files again. It applies the discovery address, the push front's
// targets, the plug-ins and the members that own partitions; other changes require a restart. If
// one file is invalid, nothing is changed. Files are read on a goroutine of their own, because
// schemas and modules take time; reloads requested meanwhile run after it.
func (c *courier) reload(done reloadCallback) {
	c.reloads.requested = append(c.reloads.requested, done)
	if !c.reloads.reading {
		c.startReload()
	}
}

func (c *courier) startReload() {
	callbacks := c.reloads.requested
	c.reloads.reading, c.reloads.requested = true, nil
	current := c.currentMembership()
	go func() {
		f, err := readAll(c.env, &c.cfg.Names, current)
		c.loop.Post(func() {
			c.reloads.reading = false
			c.applyFiles(f, err, callbacks)
			if len(c.reloads.requested) > 0 {
				c.startReload()
			}
		})
	}()
}

// applyFiles applies files that were read by a reload.
func (c *courier) applyFiles(f files, err error, callbacks []reloadCallback) {
	if err == nil {
		err = c.push.SetTargets(f.push.Targets)
	}
	if err != nil {
		c.log.Error("configuration not read again", "err", err)
		finishReload(callbacks, err.Error())
		return
	}
	if values := c.needRestart(f); len(values) > 0 {
		c.log.Warn("these wait for a restart", "values", values)
	}
	c.process.files = c.process.files.withReloadable(f)
	c.platform.MoveDiscovery(f.cfg.Discovery)
	c.adoptMembership(f.membership)
	c.plugins.SetBodyDestinations(f.plugins.Bodies)
	c.plugins.SetStartTimeout(f.plugins.StartWithin)
	c.log.Info("configuration read again", "discovery", f.cfg.Discovery, "targets", len(f.push.Targets))
	c.replacePlugins(&pluginReload{f.manifests, callbacks})
}

// needRestart returns the names of the values that differ in f and that a running courier cannot apply.
func (c *courier) needRestart(f files) []string {
	names := c.cfg.DifferingSections(f.cfg)
	if *f.directory != *c.directoryConfig {
		names = append(names, "directory")
	}
	if *f.fleet != *c.fleet {
		names = append(names, "fleet")
	}
	if *f.idle != *c.idle {
		names = append(names, "idle destinations")
	}
	if c.process.files.partitions.NeedsRestart(f.partitions) {
		names = append(names, "partitions")
	}
	return names
}

// replacePlugins replaces the plug-ins, once those of an earlier reload have loaded or failed. Of several
// reloads that wait for that, only the latest plug-ins are loaded.
func (c *courier) replacePlugins(p *pluginReload) {
	if c.reloads.replacing {
		if waiting := c.reloads.next; waiting != nil {
			p.callbacks = append(waiting.callbacks, p.callbacks...)
		}
		c.reloads.next = p
		return
	}
	c.reloads.replacing = true
	c.plugins.Replace(p.manifests, func(why string) {
		if why != "" {
			c.log.Error("plug-ins not replaced", "err", why)
		} else {
			c.process.files.manifests = p.manifests
			c.log.Info("plug-ins replaced", "n", len(p.manifests))
		}
		c.reloads.replacing = false
		finishReload(p.callbacks, why)
		if next := c.reloads.next; next != nil {
			c.reloads.next = nil
			c.replacePlugins(next)
		}
	})
}

func finishReload(callbacks []reloadCallback, why string) {
	for _, done := range callbacks {
		done(why)
	}
}

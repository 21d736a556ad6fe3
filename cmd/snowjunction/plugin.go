package main

import (
	"encoding/json"
	"fmt"
	"os"

	"snowjunction/internal/admin"
	"snowjunction/internal/config"
	"snowjunction/internal/plugin"
	"snowjunction/internal/plugin/host"
	"snowjunction/internal/plugin/manifest"
	"snowjunction/internal/plugin/skeleton"
)

// hostCommand is the command that starts a plug-in's host: this program.
func hostCommand() []string {
	exe, err := os.Executable()
	if err != nil {
		exe = os.Args[0]
	}
	return []string{exe, "plugin-host"}
}

type hostCommandLine struct{}

func (hostCommandLine) Run() error { return host.Serve(os.Stdin, os.Stdout) }

type pluginCommand struct {
	List  pluginList  `cmd:"" help:"Name the plug-ins of the operator file's folder, or of another."`
	Check pluginCheck `cmd:"" help:"Run manifest, schema and sample cases of plug-ins."`
	Try   pluginTry   `cmd:"" help:"Show what a plug-in makes of a recorded call."`
	New   pluginNew   `cmd:"" help:"Write a skeleton that passes check."`
}

type pluginList struct {
	Admin  string `placeholder:"SOCKET" help:"Ask a running courier at its admin socket instead."`
	Reload bool   `help:"With --admin: have it read its plug-ins anew first."`
	Folder string `arg:"" optional:"" help:"Folder that holds a folder for each plug-in."`
}

func (p pluginList) Run() error {
	if p.Admin != "" {
		do := "plugins"
		if p.Reload {
			do = "reload"
		}
		v, err := admin.Ask(p.Admin, do)
		if err == nil {
			fmt.Println(string(v))
		}
		return err
	}
	if p.Folder == "" {
		file := os.Getenv("SNOWJUNCTION_PLUGINS")
		if file == "" {
			file = "deploy/plugins.json"
		}
		c, err := config.LoadPlugins(file)
		if err != nil {
			return err
		}
		if p.Folder = c.Folder; p.Folder == "" {
			fmt.Println("no plug-ins")
			return nil
		}
	}
	list, err := manifest.LoadAll(p.Folder)
	for _, m := range list {
		fmt.Printf("%-20s %-10s %-8s order %-4d %v  %s\n", m.Name, m.Version, m.Engine, m.Order, m.Hooks, m.About)
	}
	return err
}

type pluginCheck struct {
	Folders []string `arg:"" help:"Folders of plug-ins."`
}

func (p pluginCheck) Run() error {
	bad := 0
	for _, dir := range p.Folders {
		m, err := manifest.Load(dir)
		if err != nil {
			fmt.Println(err)
			bad++
			continue
		}
		wrong := plugin.Check(hostCommand(), m)
		for _, why := range wrong {
			fmt.Printf("%s: %s\n", dir, why)
		}
		if bad += len(wrong); len(wrong) == 0 {
			fmt.Printf("%s: %s %s, %d samples, no mistakes\n", dir, m.Name, m.Version, len(m.Samples))
		}
	}
	if bad > 0 {
		return exit(exitMistake)
	}
	return nil
}

type pluginTry struct {
	Folder string `arg:"" help:"Folder of the plug-in."`
	Call   string `arg:"" help:"File with a call, in the form of a sample."`
}

func (p pluginTry) Run() error {
	m, err := manifest.Load(p.Folder)
	if err != nil {
		return err
	}
	b, err := os.ReadFile(p.Call)
	if err != nil {
		return err
	}
	var s manifest.Sample
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("%s: %w", p.Call, err)
	}
	answers, why := plugin.Try(hostCommand(), m, os.Stderr, host.Call{Hook: s.Hook, Call: s.Call})
	if why != "" {
		return fmt.Errorf("%s: %s", p.Folder, why)
	}
	for _, a := range answers {
		if a.Error != "" {
			fmt.Println("no answer:", a.Error)
			return exit(exitFailed)
		}
		fmt.Println(string(a.Out))
	}
	return nil
}

type pluginNew struct {
	Folder string `arg:"" help:"Folder to make; its name is the plug-in's."`
}

func (p pluginNew) Run() error {
	if err := skeleton.Write(p.Folder); err != nil {
		return err
	}
	fmt.Printf("%s: written; 'snowjunction plugin check %s' runs its samples\n", p.Folder, p.Folder)
	return nil
}

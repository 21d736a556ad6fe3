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

// pluginHostCommand returns the command line that starts a plug-in host: this program with its hidden
// command plugin-host.
func pluginHostCommand() []string {
	exe, err := os.Executable()
	if err != nil {
		exe = os.Args[0]
	}
	return []string{exe, "plugin-host"}
}

// pluginHostCommandLine runs this process as a plug-in host.
type pluginHostCommandLine struct{}

func (pluginHostCommandLine) Run() error { return host.Serve(os.Stdin, os.Stdout) }

// pluginCommand groups the commands on plug-ins.
type pluginCommand struct {
	List  pluginList  `cmd:"" help:"List the plug-ins in the folder of the operator file, or in another folder."`
	Check pluginCheck `cmd:"" help:"Check manifests, schemas and sample cases of plug-ins."`
	Try   pluginTry   `cmd:"" help:"Run a plug-in on a recorded call and print its answer."`
	New   pluginNew   `cmd:"" help:"Create a skeleton plug-in that passes check."`
}

// pluginList lists plug-ins in a folder or those of a running courier.
type pluginList struct {
	Admin  string `placeholder:"SOCKET" help:"Query a running courier through its admin socket instead."`
	Reload bool   `help:"With --admin: have the courier reload its plug-ins first."`
	Folder string `arg:"" optional:"" help:"Folder with one subfolder per plug-in."`
}

func (p pluginList) Run() error {
	if p.Admin != "" {
		do := "plugins"
		if p.Reload {
			do = "reload"
		}
		v, err := admin.Call(p.Admin, do)
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

// pluginCheck checks plug-ins against their samples.
type pluginCheck struct {
	Folders []string `arg:"" help:"Folders of plug-ins."`
}

func (p pluginCheck) Run() error {
	mistakes := 0
	for _, dir := range p.Folders {
		m, err := manifest.Load(dir)
		if err != nil {
			fmt.Println(err)
			mistakes++
			continue
		}
		found := plugin.Check(pluginHostCommand(), m)
		for _, why := range found {
			fmt.Printf("%s: %s\n", dir, why)
		}
		if mistakes += len(found); len(found) == 0 {
			fmt.Printf("%s: %s %s, %d samples, no mistakes\n", dir, m.Name, m.Version, len(m.Samples))
		}
	}
	if mistakes > 0 {
		return exitStatus(exitMistake)
	}
	return nil
}

// pluginTry runs a plug-in on one recorded call.
type pluginTry struct {
	Folder string `arg:"" help:"Folder of the plug-in."`
	Call   string `arg:"" help:"File with a call, in the format of a sample."`
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
	answers, failure := plugin.Try(pluginHostCommand(), m, os.Stderr, host.Call{Hook: s.Hook, Input: s.Call})
	if failure != "" {
		return fmt.Errorf("%s: %s", p.Folder, failure)
	}
	for _, a := range answers {
		if a.Error != "" {
			fmt.Println("no answer:", a.Error)
			return exitStatus(exitFailed)
		}
		fmt.Println(string(a.Output))
	}
	return nil
}

// pluginNew creates a skeleton plug-in.
type pluginNew struct {
	Folder string `arg:"" help:"Folder to create; its name becomes the name of the plug-in."`
}

func (p pluginNew) Run() error {
	if err := skeleton.Write(p.Folder); err != nil {
		return err
	}
	fmt.Printf("%s: created; 'snowjunction plugin check %s' runs its samples\n", p.Folder, p.Folder)
	return nil
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"snowjunction/internal/admin"
	"snowjunction/internal/config"
	"snowjunction/internal/daemon"
	"snowjunction/internal/dircache"
	"snowjunction/internal/dirtool"
)

// directoryCommand groups the commands on stored directory lists.
type directoryCommand struct {
	Show   directoryShow   `cmd:"" help:"Show the confidence in each endpoint, the reason and its age."`
	Diff   directoryDiff   `cmd:"" help:"Show the changes from one list to another; exit 1 if they differ."`
	Export directoryExport `cmd:"" help:"Write the list as JSON in the directory's format."`
	Import directoryImport `cmd:"" help:"Write a list into the state folder of a stopped courier."`
}

// stateFolder is the flag that names a courier's state folder.
type stateFolder struct {
	State string `env:"GW_STATE" type:"path" placeholder:"FOLDER" help:"The courier's state folder."`
}

// dir returns the state folder, or an error if none is given.
func (f stateFolder) dir() (string, error) {
	if f.State == "" {
		return "", errors.New("--state or GW_STATE must name the courier's state folder")
	}
	return f.State, nil
}

// warn prints an error about a file to standard error.
func warn(file string, err error) { fmt.Fprintf(os.Stderr, "%s: %v\n", file, err) }

// loadDirectoryConfig loads the operator file for the directory.
func loadDirectoryConfig() (*config.Directory, error) {
	return config.LoadDirectory(daemon.DirectoryFile(os.Getenv))
}

// directoryShow shows the endpoints of a state folder or of a running courier.
type directoryShow struct {
	stateFolder
	Admin string `placeholder:"SOCKET" help:"Query a running courier through its admin socket instead."`
	JSON  bool   `help:"Print JSON."`
}

func (d directoryShow) Run() error {
	if d.Admin != "" {
		return d.showLive()
	}
	dir, err := d.dir()
	if err != nil {
		return err
	}
	s, err := dirtool.Read(dir, warn)
	if err != nil {
		return err
	}
	op, err := loadDirectoryConfig()
	if err != nil {
		return err
	}
	now := time.Now()
	rows := dirtool.EndpointStatuses(dir, s, op.Confidence.FreshFor, now, warn)
	if d.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	fmt.Printf("generation %d of %s, confirmed %v ago, %d endpoints%s\n", s.Generation, s.Agent,
		now.Sub(s.ConfirmedAt).Round(time.Second), len(s.Entries), map[bool]string{true: ", list incomplete"}[s.Partial])
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tCELL\tADDRESS\tLIFECYCLE\tSTANDING\tWHY\tLEARNT\tLIMIT")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%.3g\n", r.InstanceID, r.Cell, r.HostPort, r.Lifecycle, r.Confidence, r.Reason, r.LearnedCondition, r.RateLimit)
	}
	return w.Flush()
}

// showLive prints the status that a running courier reports.
func (d directoryShow) showLive() error {
	text, err := admin.Call(d.Admin, "directory")
	if err != nil {
		return err
	}
	if d.JSON {
		fmt.Println(string(text))
		return nil
	}
	var b daemon.DirectoryStatus
	if err := json.Unmarshal(text, &b); err != nil {
		return err
	}
	fmt.Printf("source %s, live %v, confirmed %.0f s ago, %d endpoints\n", b.Source, b.Live, b.ConfirmedAgeS, b.ListedEndpoints)
	for name, s := range b.Conditions {
		fmt.Printf("%s for %.0f s\n", name, s)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tCELL\tADDRESS\tLIFECYCLE\tSTANDING\tSINCE\tWHY")
	for _, e := range b.Endpoints {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%.0f s\t%s\n", e.Name, e.Destination, e.Addr, e.Lifecycle, e.Standing, e.SinceS, e.Why)
	}
	return w.Flush()
}

// directoryDiff compares two lists.
type directoryDiff struct {
	From string `arg:"" type:"path" help:"A courier's state folder, a list snapshot, or JSON in the directory's format."`
	To   string `arg:"" type:"path" help:"The list to compare with, in any of the same forms."`
}

func (d directoryDiff) Run() error {
	a, err := dirtool.Read(d.From, warn)
	if err != nil {
		return err
	}
	b, err := dirtool.Read(d.To, warn)
	if err != nil {
		return err
	}
	lines := dirtool.Diff(a, b)
	for _, l := range lines {
		fmt.Println(l)
	}
	if len(lines) > 0 {
		return exitStatus(exitFailed)
	}
	return nil
}

// directoryExport writes the list of a state folder as JSON.
type directoryExport struct {
	stateFolder
	File string `arg:"" default:"-" help:"Output file; '-' is standard output."`
}

func (d directoryExport) Run() error {
	dir, err := d.dir()
	if err != nil {
		return err
	}
	s, err := dirtool.Read(dir, warn)
	if err != nil {
		return err
	}
	var out io.Writer = os.Stdout
	if d.File != "-" {
		f, err := os.Create(d.File)
		if err != nil {
			return err
		}
		defer f.Close()
		out = f
	}
	return dirtool.Export(s).Write(out)
}

// directoryImport writes a list into a state folder.
type directoryImport struct {
	stateFolder
	File  string         `arg:"" type:"existingfile" help:"A list in the directory's JSON format, or a list snapshot."`
	Age   *time.Duration `help:"How long ago the directory confirmed the list; by default the time in the file, or else now."`
	Agent string         `help:"Address of the agent that sent the list; only there the courier asks for changes since its generation."`
}

func (d directoryImport) Run() error {
	dir, err := d.dir()
	if err != nil {
		return err
	}
	s, err := dirtool.Read(d.File, warn)
	if err != nil {
		return err
	}
	op, err := loadDirectoryConfig()
	if err != nil {
		return err
	}
	if now := time.Now(); d.Age != nil {
		s.ConfirmedAt = now.Add(-*d.Age)
	} else if s.ConfirmedAt.IsZero() {
		s.ConfirmedAt = now
	}
	if d.Agent != "" {
		s.Agent = d.Agent
	}
	o := dircache.Options{Dir: dir, Bytes: op.CacheBytes, Generations: op.Generations, Log: (globals{}).options().Logger()}
	if err := dirtool.Import(dir, s, o); err != nil {
		return err
	}
	fmt.Printf("%d endpoints of generation %d, confirmed %v ago\n", len(s.Entries), s.Generation, time.Since(s.ConfirmedAt).Round(time.Second))
	return nil
}

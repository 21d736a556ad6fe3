package daemon

import (
	"errors"
	"fmt"

	"snowjunction/internal/plugin"
	"snowjunction/internal/schema"
)

// Check reads all files that a start would read and returns one line per mistake; without any, a
// start would not fail because of its files. notes describe this courier's share of the partitions.
// Check opens no socket and does not touch the state folder.
func Check(opts Options) (mistakes, notes []string) {
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
	f := readFiles(opts.Env, nil, nil, add)
	if f.push != nil {
		_, _, err := descriptions(f.push)
		add("", err)
	}
	for _, m := range f.manifests {
		for _, why := range plugin.Check(opts.Host, m) {
			mistakes = append(mistakes, m.Dir+": "+why)
		}
	}
	if m := f.membership; m != nil {
		notes = append(notes, fmt.Sprintf("%s: members=%d regions=%d partitions=%d copies=%d; %s owns %d",
			partitionsPath(opts.Env), len(m.Members()), m.Regions(), m.Partitions(), m.Copies(), f.cfg.Name, len(m.Owned(f.cfg.Name))))
	}
	return mistakes, notes
}

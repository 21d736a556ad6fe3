package config

import "time"

// Plugins is the operator file for plug-ins.
type Plugins struct {
	Folder string   // contains a folder for each plug-in; empty means no plug-ins
	Admin  string   // path of the admin socket; empty means no socket
	Bodies []uint32 // destinations whose descriptions allow a plug-in to send another body

	StartWithin time.Duration // limit on the start of a plug-in's host; zero means the courier's default
}

// LoadPlugins reads the plug-ins' file. Relative paths in it are resolved against its folder. If
// the file does not exist, there are no plug-ins.
func LoadPlugins(path string) (*Plugins, error) {
	v, err := readOperatorFile(path, "plugins")
	if err != nil {
		return nil, err
	}
	p := &Plugins{Folder: resolvePath(path, v, "folder"), Admin: resolvePath(path, v, "admin")}
	p.StartWithin = time.Duration(v.GetInt("start_s")) * time.Second
	for _, d := range v.GetArray("bodies") {
		p.Bodies = append(p.Bodies, uint32(d.GetUint64())) // the schema has checked the range
	}
	return p, nil
}

package config

import "time"

// Plugins is the plug-ins' operator file.
type Plugins struct {
	Folder string   // holds a folder for each; "": none
	Admin  string   // path of the admin socket; "": none
	Bodies []uint32 // destinations whose descriptions allow other bodies

	StartWithin time.Duration // for a plug-in's host to be ready; 0: as the courier thinks fit
}

// LoadPlugins reads the plug-ins' file. Paths in it start from its folder. A file
// that is not there means none.
func LoadPlugins(path string) (*Plugins, error) {
	v, err := operatorFile(path, "plugins")
	if err != nil {
		return nil, err
	}
	p := &Plugins{Folder: beside(path, v, "folder"), Admin: beside(path, v, "admin")}
	p.StartWithin = time.Duration(v.GetInt("start_s")) * time.Second
	for _, d := range v.GetArray("bodies") {
		p.Bodies = append(p.Bodies, uint32(d.GetUint64())) // the schema has seen to its bounds
	}
	return p, nil
}

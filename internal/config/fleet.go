package config

// Fleet is the operator file for what couriers of a fleet do together.
type Fleet struct {
	Notes bool // where many share limits, they ask each other for leave to call
}

// LoadFleet reads the operator file for the fleet. A file that is not there leaves the
// defaults.
func LoadFleet(path string) (*Fleet, error) {
	v, err := operatorFile(path, "fleet")
	if err != nil {
		return nil, err
	}
	return &Fleet{Notes: !v.Exists("notes") || v.GetBool("notes")}, nil
}

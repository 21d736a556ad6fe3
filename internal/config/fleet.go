package config

// Fleet is the operator file for cooperation between the couriers of a fleet.
type Fleet struct {
	Notes bool // couriers that share rate limits request quota from each other by peer messages
}

// LoadFleet reads the operator file for the fleet. If the file does not exist, the defaults apply.
func LoadFleet(path string) (*Fleet, error) {
	v, err := readOperatorFile(path, "fleet")
	if err != nil {
		return nil, err
	}
	return &Fleet{Notes: !v.Exists("notes") || v.GetBool("notes")}, nil
}

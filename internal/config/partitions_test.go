package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"snowjunction/internal/partition"
	"snowjunction/internal/schema"
)

func loadPartitions(t *testing.T, text string) (*Partitions, string, error) {
	path := filepath.Join(t.TempDir(), "partitions.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	p, err := LoadPartitions(path)
	return p, path, err
}

// Partitioning is disabled without a file and with the one that ships.
func TestPartitionsDisabledByDefault(t *testing.T) {
	for _, path := range []string{filepath.Join(t.TempDir(), "none.json"), "../../deploy/partitions.json"} {
		p, err := LoadPartitions(path)
		require.NoError(t, err)
		assert.Equal(t, &Partitions{Partitions: 16384, Copies: 1, Linger: 30 * time.Second}, p)
		m, err := p.Membership("n0", nil)
		require.NoError(t, err)
		assert.Nil(t, m)
	}
}

func TestLoadPartitions(t *testing.T) {
	p, _, err := loadPartitions(t, `{"enabled": true, "partitions": 64, "copies": 2, "linger_s": 1.5, "region": "south", "members": [
		{"name": "n1", "addr": "127.0.0.1:1", "region": "north", "zone": "a", "weight": 2.5}, {"name": "n0", "addr": "[::1]:1"}]}`)
	require.NoError(t, err)
	want := Partitions{Enabled: true, Partitions: 64, Copies: 2, Linger: 1500 * time.Millisecond, Region: "south", Members: []partition.Member{
		{Name: "n1", Addr: "127.0.0.1:1", Region: "north", Zone: "a", Weight: 2.5}, {Name: "n0", Addr: "[::1]:1"},
	}}
	assert.Equal(t, &want, p)
	m, err := p.Membership("n0", nil)
	require.NoError(t, err)
	assert.Len(t, m.Owned("n0"), 64)
	p.Members = p.Members[:1]
	next, err := p.Membership("n0", m)
	require.NoError(t, err)
	assert.Empty(t, next.Owned("n0"))

	other := want
	other.Members = nil
	assert.False(t, want.NeedsRestart(&other), "members are applied without a restart")
	for _, change := range []func(*Partitions){
		func(p *Partitions) { p.Enabled = false }, func(p *Partitions) { p.Partitions++ }, func(p *Partitions) { p.Copies++ },
		func(p *Partitions) { p.Linger++ }, func(p *Partitions) { p.Region = "" },
	} {
		other := want
		change(&other)
		assert.True(t, want.NeedsRestart(&other))
	}
}

// Each mistake is reported in one line that names its place, whether or not partitioning is
// enabled.
func TestInvalidPartitionsFile(t *testing.T) {
	one := `{"name": "n0", "addr": "127.0.0.1:1"}`
	for text, want := range map[string]string{
		`{"enabled": 1}`:                                                          "/enabled: ",
		`{"enabled": true}`:                                                       "/members: none, and /enabled is true",
		`{"enabled": true, "members": []}`:                                        "/members: none, and /enabled is true",
		`{"partitions": 0}`:                                                       "/partitions: ",
		`{"partitions": 65537}`:                                                   "/partitions: ",
		`{"partitions": 1.5}`:                                                     "/partitions: ",
		`{"copies": 0}`:                                                           "/copies: ",
		`{"copies": 5}`:                                                           "/copies: ",
		`{"linger_s": -1}`:                                                        "/linger_s: ",
		`{"region": 7}`:                                                           "/region: ",
		`{"partition": 8}`:                                                        "'partition'",
		`{"members": [` + one + `, {"name": "n1"}]}`:                              "/members/1: missing property 'addr'",
		`{"members": [{"addr": "127.0.0.1:1"}]}`:                                  "/members/0: missing property 'name'",
		`{"members": [{"name": "", "addr": "127.0.0.1:1"}]}`:                      "/members/0/name: ",
		`{"members": [` + one[:len(one)-1] + `, "wait": 1}]}`:                     "/members/0: additional properties 'wait'",
		`{"members": [` + one[:len(one)-1] + `, "weight":0}]}`:                    "/members/0/weight: ",
		`{"members": [` + one[:len(one)-1] + `, "weight":-2}]}`:                   "/members/0/weight: ",
		`{"members": [{"name": "n0", "addr": "courier:1"}]}`:                      `/members/0/addr: "courier:1" is not an address with a port`,
		`{"members": [{"name": "n0", "addr": "127.0.0.1"}]}`:                      `/members/0/addr: "127.0.0.1" is not an address with a port`,
		`{"members": [{"name": "n0", "addr": "127.0.0.1:0"}]}`:                    `/members/0/addr: "127.0.0.1:0" is not`,
		`{"members": [{"name": "n0", "addr": "0.0.0.0:6379"}]}`:                   `/members/0/addr: "0.0.0.0:6379" is not`,
		`{"members": [` + one + `, {"name": "n0", "addr": "127.0.0.1:2"}]}`:       `/members/1/name: "n0" is the name of /members/0 too`,
		`{"members": [` + one + `, {"name": "n1", "addr": "127.0.0.1:1"}]}`:       `/members/1/addr: "127.0.0.1:1" is the address of /members/0 too`,
		`{"members": [` + one + `, ` + one + `, {"name": "n1", "addr": "none"}]}`: `/members/1/name: "n0" is the name`,
		`{"members":`: "not JSON",
	} {
		_, path, err := loadPartitions(t, text)
		require.ErrorContains(t, err, want, text)
		assert.Contains(t, err.Error(), path)
		assert.NotContains(t, err.Error(), "\n")
	}
}

// A courier that would own more partitions than it can name in a list request gets an error. A
// courier that owns none is accepted in a fleet of any size.
func TestTooManyPartitionsPerMember(t *testing.T) {
	var members []string
	for i := range 15 {
		members = append(members, fmt.Sprintf(`{"name": "n%d", "addr": "127.0.0.1:%d"}`, i, i+1))
	}
	p, _, err := loadPartitions(t, `{"enabled": true, "members": [`+strings.Join(members, ",")+`]}`)
	require.NoError(t, err)
	_, err = p.Membership("n0", nil)
	require.Error(t, err)
	assert.Regexp(t, `^/partitions: 16384 is too large for so few members: "n0" would own 1[01][0-9]{2}, over 1024$`, err.Error())
	_, err = p.Membership("elsewhere", nil)
	require.NoError(t, err)
	p.Partitions = 4096
	m, err := p.Membership("n0", nil)
	require.NoError(t, err)
	p.Partitions = 16384
	_, err = p.Membership("n0", m)
	assert.ErrorContains(t, err, "/partitions: ", "the current membership has another number of partitions")
}

// The schema accepts a file with all fields set.
func TestPartitionsSchemaAcceptsAllFields(t *testing.T) {
	assert.NoError(t, schema.Check("partitions", []byte(`{"enabled": false, "partitions": 65536, "copies": 4, "linger_s": 0,
		"region": "", "members": [{"name": "a", "addr": "127.0.0.1:1", "region": "", "zone": "", "weight": 0.001}]}`)))
}

package schema

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each mistake is reported in a line of its own, which starts with its place.
func TestCheck(t *testing.T) {
	assert.NoError(t, Check("push", []byte(`{"listen":"","targets":[]}`)))
	err := Check("push", []byte(`{"listen":5,"retain_s":-1,"colour":"red","targets":[{"cell":"x"}]}`))
	var m Mistakes
	require.True(t, errors.As(err, &m), "%v", err)
	require.Len(t, m, 5)
	for i, at := range []string{"/: additional", "/listen: ", "/retain_s: ", "/targets/0/cell: ", "/targets/0: "} {
		assert.Contains(t, m[i], at)
	}
	assert.ErrorContains(t, Check("push", []byte(`{"listen":`)), "not JSON")
	assert.Error(t, Check("nowhere", []byte(`{}`)))
}

// Guards against a schema that does not compile: every start would fail.
func TestSchemasCompile(t *testing.T) {
	require.NotEmpty(t, Names())
	for _, name := range Names() {
		var m Mistakes
		if err := Check(name, []byte(`{}`)); err != nil {
			assert.True(t, errors.As(err, &m), "%s: %v", name, err)
		}
	}
}

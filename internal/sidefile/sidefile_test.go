package sidefile

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Values are written in order; those put during a write are merged; failures are counted and logged
// once, as is the recovery; nothing is written after Close.
func TestWriter(t *testing.T) {
	var got, lines bytes.Buffer
	begun, goOn := make(chan bool), make(chan error)
	w := &Writer[string]{
		Merge: func(a, b string) string { return a + "+" + b }, Log: slog.New(slog.NewTextHandler(&lines, nil)), Subject: "it",
		Write: func(s string) error {
			begun <- true
			err := <-goOn
			if err == nil {
				got.WriteString(s + "\n")
			}
			return err
		},
	}
	w.Put("a")
	<-begun
	w.Put("b")
	w.Put("c")
	goOn <- nil
	<-begun
	goOn <- errors.New("full")
	w.Put("d")
	<-begun
	goOn <- errors.New("full")
	w.Put("e")
	<-begun
	w.Put("f")
	goOn <- nil
	<-begun
	closed := make(chan bool)
	go func() {
		w.Close()
		close(closed)
	}()
	goOn <- nil
	<-closed
	w.Put("late")
	w.Close()
	assert.Equal(t, "a\ne\nf\n", got.String())
	assert.Equal(t, uint64(2), w.Failed())
	assert.Equal(t, 1, bytes.Count(lines.Bytes(), []byte("it is not kept")))
	assert.Equal(t, 1, bytes.Count(lines.Bytes(), []byte("it is kept again")))
}

func TestFiles(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{Path(dir, "x-", 10), Path(dir, "x-", 9), filepath.Join(dir, "x-new"), filepath.Join(dir, "x-7"), Path(dir, "y-", 1)} {
		require.NoError(t, os.WriteFile(name, nil, 0o600))
	}
	files, err := Files(dir, "x-")
	require.NoError(t, err)
	assert.Equal(t, []string{Path(dir, "x-", 9), Path(dir, "x-", 10)}, files)
	assert.Equal(t, uint64(10), Number(files[1], "x-"))
	assert.Zero(t, Number(files[1], "y-"))
}

package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// result holds the measures of one run as stored in the results file.
type result struct {
	Key    string             `json:"key"`
	Build  string             `json:"build"`
	Values map[string]float64 `json:"values"`
}

// resultStore appends the results of runs to a file, one JSON line each, as the runs finish. An
// incomplete last line, left by an interruption, is truncated when the file is opened again.
type resultStore struct {
	f    *os.File
	done map[string]map[string]float64
}

// openResultStore opens the results of one build. Results of another build are an error, since
// mixing them would go unnoticed.
func openResultStore(path, build string) (*resultStore, error) {
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	s := &resultStore{done: map[string]map[string]float64{}}
	complete := 0
	for n := 1; ; n++ {
		i := bytes.IndexByte(text[complete:], '\n')
		if i < 0 {
			break
		}
		var l result
		if err := json.Unmarshal(text[complete:complete+i], &l); err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", path, n, err)
		}
		if l.Build != build {
			return nil, fmt.Errorf("%s: line %d: of another build; use another output directory or discard the results", path, n)
		}
		s.done[l.Key] = l.Values
		complete += i + 1
	}
	if s.f, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644); err != nil {
		return nil, err
	}
	if err := s.f.Truncate(int64(complete)); err != nil {
		s.f.Close()
		return nil, err
	}
	if _, err := s.f.Seek(int64(complete), 0); err != nil {
		s.f.Close()
		return nil, err
	}
	return s, nil
}

func (s *resultStore) add(l result) error {
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if _, err := s.f.Write(append(b, '\n')); err != nil {
		return err
	}
	s.done[l.Key] = l.Values
	return nil
}

func (s *resultStore) close() error { return s.f.Close() }

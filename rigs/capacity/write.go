package main

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// write writes the figures into the folder for results.
func (r *rig) write() error {
	text, err := json.MarshalIndent(r.Figures, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.out, r.name+".json"), append(text, '\n'), 0o644)
}

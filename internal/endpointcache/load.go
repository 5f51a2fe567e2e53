// Package endpointcache caches the endpoint list of a pool on disk, so that a process that starts while discovery is
// unavailable begins with the last list that an earlier process had.
//
// A pool never waits for the disk: a Writer writes in the background, and combines lists that arrive during a write
// into the next one.
package endpointcache

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"olivearch/internal/discovery"
	"olivearch/internal/disk"
)

// maxListSize bounds the size of a cached list, in bytes.
const maxListSize = 64 << 20

// Load reads the cached list at path. It returns nil without an error if there is no file. For a list that is damaged
// or has an invalid entry it returns an error that names the file, and the caller should start without the list. The
// error wraps disk.ErrDamaged if the file does not hold what was written.
func Load(path string) (*discovery.Listing, error) {
	text, err := disk.Read(path, maxListSize)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("the kept list: %w", err)
	}
	list, err := decode(text)
	if err != nil {
		return nil, fmt.Errorf("the kept list: %s: %w", path, err)
	}
	return list, nil
}

func decode(text []byte) (*discovery.Listing, error) {
	var list discovery.Listing
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	for i := range list.Members {
		if err := list.Members[i].Check(); err != nil {
			return nil, err
		}
	}
	// The discovery service may have restarted since, and the revision would then mean nothing to it. Without a
	// revision, the first poll asks for the complete list.
	list.Revision, list.Complete = 0, true
	return &list, nil
}

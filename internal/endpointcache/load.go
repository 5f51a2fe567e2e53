// Package endpointcache caches the endpoint list of a pool on disk, so that a process that starts while discovery is
// unavailable begins with the last list that an earlier process had.
//
// The cache is never in the way: a pool saves lists to a Writer without waiting, and of several lists that arrive
// during one write only the last is written.
package endpointcache

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"olivearch/internal/discovery"
	"olivearch/internal/disk"
)

// maxListSize bounds a cached list, in bytes.
const maxListSize = 64 << 20

// Load reads the cached list at path. It returns nil without an error if there is none. For a list that is damaged, or
// has an invalid entry, it returns an error that names the file; the process is then meant to start without the list.
// An error about the file's contents as a whole wraps disk.ErrDamaged.
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
	// The revision belongs to a discovery service that may have started anew since. Without one, the first poll asks
	// for the complete list.
	list.Revision, list.Complete = 0, true
	return &list, nil
}

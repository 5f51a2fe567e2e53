package config

import (
	"runtime"
	"sync"

	"olivearch/internal/strictyaml"
)

// batchSize is the number of entries of a section that are parsed at once. That takes about 1 ms, for which decisions
// have to wait on a machine with one processor, and about 2 KB of memory for each entry.
const batchSize = 128

// maxBatchReaders returns the maximum number of batches that are parsed concurrently: half the processors and at most
// four, so that the other processors serve requests.
func maxBatchReaders() int { return max(1, min(4, runtime.GOMAXPROCS(0)/2)) }

// entryBatches holds the entries of a section that are to be parsed in batches.
type entryBatches struct {
	path        string // of the file
	linesBefore int    // number of lines in the file before the section's body
	entries     *strictyaml.Entries
}

// batchResult is the combined result of all batches.
type batchResult struct {
	valueCount int   // number of values read
	exact      bool  // the entries are certain to be those that parsing the whole file gives
	err        error // the first error of a batch, in the order in which the batches ended
}

// readInBatches parses entries into values of type T, several batches concurrently. It calls store with each batch and
// the index of the batch's first entry; these calls are concurrent too.
func readInBatches[T any](batches entryBatches, store func(first int, read T)) batchResult {
	var group sync.WaitGroup
	var mutex sync.Mutex // guards result
	result := batchResult{exact: true}
	slots := make(chan struct{}, maxBatchReaders())
	count := len(batches.entries.Starts)
	for first := 0; first < count; first += batchSize {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			var read T
			end := min(first+batchSize, count)
			doc, exact := batches.entries.Read(batches.path, batches.linesBefore, first, end, &read)
			if exact {
				store(first, read)
			}
			mutex.Lock()
			defer mutex.Unlock()
			result.add(doc, exact)
		})
	}
	group.Wait()
	return result
}

// add adds the result of one batch.
func (r *batchResult) add(doc *strictyaml.Doc, exact bool) {
	r.valueCount += doc.Values()
	if exact {
		return
	}
	r.exact = false
	if r.err == nil {
		r.err = doc.Err()
	}
}

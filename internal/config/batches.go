package config

import (
	"runtime"
	"sync"

	"olivearch/internal/strictyaml"
)

// batchSize is how many entries of a long section are read at once, in about a millisecond: on a machine with one
// processor decisions wait for no more than one batch. What the parser makes of an entry takes about 2 KB.
const batchSize = 128

// maxBatchReaders returns how many batches are read at the same time: half the processors, four at most, so that the
// others serve requests meanwhile.
func maxBatchReaders() int { return max(1, min(4, runtime.GOMAXPROCS(0)/2)) }

// entryBatches are the entries of a section, to be read in batches.
type entryBatches struct {
	path        string // of the file
	linesBefore int    // lines of the file before the section's body
	entries     *strictyaml.Entries
}

// batchResult is what came of reading the batches.
type batchResult struct {
	valueCount int   // number of values read
	whole      bool  // the entries are those that reading the whole file gives
	mistake    error // the first error that a batch had
}

// readInBatches reads entries into values of type T, some batches at the same time, and calls take, from several
// goroutines, with each batch and the index of its first entry.
func readInBatches[T any](batches entryBatches, take func(first int, read T)) batchResult {
	var group sync.WaitGroup
	var mutex sync.Mutex // guards result
	result := batchResult{whole: true}
	slots := make(chan struct{}, maxBatchReaders())
	count := len(batches.entries.Starts)
	for first := 0; first < count; first += batchSize {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			var read T
			end := min(first+batchSize, count)
			doc, whole := batches.entries.Read(batches.path, batches.linesBefore, first, end, &read)
			if whole {
				take(first, read)
			}
			mutex.Lock()
			defer mutex.Unlock()
			result.add(doc, whole)
		})
	}
	group.Wait()
	return result
}

// add takes the outcome of one batch into the result.
func (r *batchResult) add(doc *strictyaml.Doc, whole bool) {
	r.valueCount += doc.Values()
	if whole {
		return
	}
	r.whole = false
	if r.mistake == nil {
		r.mistake = doc.Err()
	}
}

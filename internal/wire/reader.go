package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"olivearch/balancer"
)

// maxLists is the number of endpoint lists that may be defined at the same time.
const maxLists = 16

const readBufferSize = 1 << 16

// endOfBatch is the line that ends a batch.
const endOfBatch = "eob"

// Reader reads batches. It must be used by one goroutine only.
type Reader struct {
	in         *bufio.Reader
	lineNumber int // of the last line read, from 1
	longLine   []byte
	names      map[string]string // see intern
	lists      [maxLists]endpointList
	fields     fields // of the last line split
}

// endpointList is a numbered list, which later messages refer to.
type endpointList struct {
	defined   bool
	endpoints []balancer.Upstream
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferSize), names: map[string]string{}}
}

// Next reads a batch into batch and overwrites its events. It returns io.EOF at the end of input. If the input is
// malformed, the error names the line and the field.
func (r *Reader) Next(batch *Batch) error {
	line, err := r.readLine()
	if err != nil {
		return err
	}
	if err := r.readBatchHeader(line, batch); err != nil {
		return fmt.Errorf("line %d: %w", r.lineNumber, err)
	}
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: batch %d ends without eob", r.lineNumber, batch.Serial)
		}
		if err != nil {
			return err
		}
		if string(line) == endOfBatch {
			return nil
		}
		if err := r.readMessage(line, batch); err != nil {
			return fmt.Errorf("line %d: %w", r.lineNumber, err)
		}
	}
}

// readLine returns the next line without its end. The slice is valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.in.ReadSlice('\n')
			r.longLine = append(r.longLine, line...)
		}
		line = r.longLine
	}
	switch {
	case errors.Is(err, io.EOF) && len(line) > 0:
		return nil, fmt.Errorf("line %d: cut short", r.lineNumber+1)
	case errors.Is(err, io.EOF):
		return nil, io.EOF
	case err != nil:
		return nil, fmt.Errorf("line %d: %w", r.lineNumber+1, err)
	}
	r.lineNumber++
	return line[:len(line)-1], nil
}

// readBatchHeader reads the line that begins a batch.
func (r *Reader) readBatchHeader(line []byte, batch *Batch) error {
	name, err := r.fields.split(line)
	if err != nil {
		return err
	}
	if string(name) != "frame" {
		return fmt.Errorf("message %q where frame was expected", name)
	}
	batch.At = r.fields.duration("at_time_us", required)
	batch.Serial = r.fields.uint("serial", 64, required)
	batch.Events = batch.Events[:0]
	return r.fields.err
}

// intern returns a name as a string. Each distinct name is allocated once, so that reading requests allocates none.
func (r *Reader) intern(name []byte) string {
	if len(name) == 0 {
		return ""
	}
	interned, ok := r.names[string(name)]
	if !ok {
		interned = string(name)
		r.names[interned] = interned
	}
	return interned
}

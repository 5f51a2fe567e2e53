package body

import (
	"errors"
	"io"
	"sync"
)

const (
	// freeBufferBytes is the part of a response that is buffered without taking memory from the account.
	freeBufferBytes = 4 << 10
	// smallBlockSize is the size in bytes of the blocks of a streamed response that gets no memory from the account.
	smallBlockSize = 4 << 10
	// blocksPerStream is how many blocks a streamed response uses: one is received while another one is sent.
	blocksPerStream = 2
)

// smallBlocks holds unused blocks as *[smallBlockSize]byte.
var smallBlocks = sync.Pool{New: func() any { return new([smallBlockSize]byte) }}

// getBlock returns an unused block of BlockSize or smallBlockSize bytes.
func getBlock(size int) []byte {
	if size == BlockSize {
		return blocks.Get().(*[BlockSize]byte)[:]
	}
	return smallBlocks.Get().(*[smallBlockSize]byte)[:]
}

// putBlock returns a block that getBlock has returned.
func putBlock(block []byte) {
	if cap(block) == BlockSize {
		blocks.Put((*[BlockSize]byte)(block[:BlockSize]))
		return
	}
	smallBlocks.Put((*[smallBlockSize]byte)(block[:smallBlockSize]))
}

// Within makes the memory of the body count in an account that all responses share. While it is used up, a body is
// streamed at once, in small blocks. It is called before Receive.
func (d *Download) Within(account Reserve) { d.memory = account }

// receiveNext reads the next part of the body. While the body is buffered, the part is added to the buffered bytes.
func (d *Download) receiveNext(start func()) (next part, buffered bool) {
	if !d.makeSpare() {
		start() // it stays buffered while HoldWhile says so
	}
	spare := d.spare()
	if len(spare) == 0 {
		return d.readPart(), false
	}
	size, err := d.body.Read(spare)
	d.noteReceived(int64(size))
	return d.keep(spare[:size], d.readError(err))
}

// makeSpare makes room for further bytes if the body is being buffered. It returns false if the account has no memory
// for them, so that the body must be streamed.
func (d *Download) makeSpare() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != buffering || len(d.buffered) < cap(d.buffered) {
		return true
	}
	size := min(max(2*cap(d.buffered), freeBufferBytes), MaxBuffered+freeBufferBytes)
	hasMemory := d.reserve(int64(size - max(cap(d.buffered), freeBufferBytes)))
	if !hasMemory {
		d.isDue = true
	}
	grown := make([]byte, len(d.buffered), size)
	copy(grown, d.buffered)
	d.buffered = grown
	return hasMemory
}

// reserve takes memory for the buffer from the account. The caller holds the lock.
func (d *Download) reserve(bytes int64) bool {
	if d.memory == nil {
		return true
	}
	if !d.memory.TryReserve(bytes) {
		return false
	}
	d.bufferMemory += bytes
	return true
}

// spare returns the unused part of the buffer; empty: the body is streamed.
func (d *Download) spare() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != buffering {
		return nil
	}
	return d.buffered[len(d.buffered):cap(d.buffered)]
}

// keep adds bytes that were read into the spare part of the buffer to the buffered ones. If streaming has begun
// meanwhile, it returns them as a part instead.
func (d *Download) keep(received []byte, err error) (next part, buffered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasBuffering := d.state == buffering
	if err != nil {
		d.state = finished
	}
	if wasBuffering {
		d.buffered = d.buffered[:len(d.buffered)+len(received)]
		return part{size: len(received), err: err}, true
	}
	d.unsent = received
	return d.cutUnsent(err), false
}

// cutUnsent returns the next part of the bytes that were read into the buffer when streaming had begun. The error comes
// with the last part. The caller holds the lock.
func (d *Download) cutUnsent(err error) part {
	next := part{block: getBlock(d.blockSize)}
	next.size = copy(next.block, d.unsent)
	d.unsent = d.unsent[next.size:]
	if len(d.unsent) == 0 {
		next.err = err
		d.unsent = nil
		return next
	}
	d.unsentErr = err
	return next
}

// readPart reads the next part of a body that is streamed.
func (d *Download) readPart() part {
	d.mu.Lock()
	if len(d.unsent) > 0 {
		defer d.mu.Unlock()
		return d.cutUnsent(d.unsentErr)
	}
	size := d.blockSize
	d.mu.Unlock()
	block := getBlock(size)
	received, err := d.body.Read(block)
	d.noteReceived(int64(received))
	err = d.readError(err)
	if err != nil {
		d.finish()
	}
	return part{block, received, err}
}

// chooseBlocks reserves the memory for the blocks of a body that is streamed. The caller holds the lock.
func (d *Download) chooseBlocks() {
	d.blockSize = BlockSize
	if d.memory == nil {
		return
	}
	if d.memory.TryReserve(blocksPerStream * BlockSize) {
		d.blockMemory = blocksPerStream * BlockSize
		return
	}
	d.blockSize = smallBlockSize
}

// releaseBuffer ends the use of the buffer.
func (d *Download) releaseBuffer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseMemory(&d.bufferMemory)
}

// releaseBlocks ends the use of blocks.
func (d *Download) releaseBlocks() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseMemory(&d.blockMemory)
}

// releaseMemory returns memory to the account. The caller holds the lock.
func (d *Download) releaseMemory(bytes *int64) {
	if d.memory != nil && *bytes > 0 {
		d.memory.Release(*bytes)
	}
	*bytes = 0
}

// receiveWhole reads on until the body ends, or returns the first part that is to be streamed.
func (d *Download) receiveWhole(start func()) (first part, ended bool, err error) {
	for {
		next, buffered := d.receiveNext(start)
		switch {
		case !buffered:
			return next, false, nil
		case errors.Is(next.err, io.EOF):
			return part{}, true, nil
		case next.err != nil:
			return part{}, true, next.err
		}
		start()
	}
}

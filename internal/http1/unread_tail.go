package http1

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// tailBlock is the size in bytes of the memory into which UnreadTail copies all unread bytes, one block over another.
	tailBlock = 16 << 10
	// maxTailBlocks bounds the blocks, and so the unread bytes, to 8 MiB.
	maxTailBlocks = 512
)

// UnreadTail returns the last unread bytes of a connection, at most size of them, without reading them. It returns
// fewer if there are fewer, and none if that is unknown. It does not wait.
func UnreadTail(c net.Conn, size int) []byte {
	var block [tailBlock]byte
	blocks := make([][]byte, maxTailBlocks)
	for i := range blocks {
		blocks[i] = block[:]
	}
	unread := 0
	err := control(c, func(descriptor int) {
		var receiveErr error
		unread, _, _, _, receiveErr = unix.RecvmsgBuffers(descriptor, blocks, nil, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if receiveErr != nil {
			unread = 0
		}
	})
	if err != nil || unread >= tailBlock*maxTailBlocks {
		return nil
	}
	size = min(size, unread, tailBlock)
	end := unread % tailBlock
	last := append([]byte(nil), block[:end]...)
	if len(last) < size { // the rest stands at the end of the block before
		last = append(append([]byte(nil), block[end:]...), last...)
	}
	return last[len(last)-size:]
}

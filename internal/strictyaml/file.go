package strictyaml

import (
	"bytes"
	"fmt"
	"io"
	"os"
)

// ReadFile reads a file of at most maxSize bytes, a whole number of MiB.
func ReadFile(path string, maxSize int64) ([]byte, error) { return ReadFileInto(nil, path, maxSize) }

// ReadFileInto is ReadFile into a buffer, if that is long enough, and into a new one otherwise.
func ReadFileInto(buffer []byte, path string, maxSize int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // nothing was written
	info, err := file.Stat()
	if err == nil && info.Size()+bytes.MinRead > int64(cap(buffer)) { // MinRead: room to see the end of the file
		buffer = make([]byte, 0, min(info.Size()+info.Size()/64, maxSize)+bytes.MinRead)
	}
	text := bytes.NewBuffer(buffer[:0])
	_, err = text.ReadFrom(io.LimitReader(file, maxSize+1))
	if err == nil && int64(text.Len()) > maxSize {
		err = fmt.Errorf("%s: the file is over %d MiB", path, maxSize>>20)
	}
	return text.Bytes(), err
}

package strictyaml

import (
	"bytes"
	"fmt"
	"io"
	"os"
)

// ReadFile reads a file of at most maxSize bytes, which must be a whole number of MiB.
func ReadFile(path string, maxSize int64) ([]byte, error) { return ReadFileInto(nil, path, maxSize) }

// ReadFileInto is ReadFile into a buffer, or into a new one if the buffer is too small.
func ReadFileInto(buffer []byte, path string, maxSize int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // an error is harmless: nothing was written
	info, err := file.Stat()
	if err == nil && info.Size()+bytes.MinRead > int64(cap(buffer)) { // ReadFrom needs MinRead bytes to detect the end
		buffer = make([]byte, 0, min(info.Size()+info.Size()/64, maxSize)+bytes.MinRead)
	}
	text := bytes.NewBuffer(buffer[:0])
	_, err = text.ReadFrom(io.LimitReader(file, maxSize+1))
	if err == nil && int64(text.Len()) > maxSize {
		err = fmt.Errorf("%s: the file is over %d MiB", path, maxSize>>20)
	}
	return text.Bytes(), err
}

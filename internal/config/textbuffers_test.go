package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// bufferedReload is a reload of a text whose result is put in force or not.
type bufferedReload struct {
	text    string
	adopted bool
}

// bufferTest is a file that is reloaded many times.
type bufferTest struct {
	path    string
	inForce *Loaded
	used    map[int]int // by index of a buffer, or notBuffered: number of texts put in force that were read into it
}

// TestTextBuffersAlternate: over reloads that are put in force or discarded, that fail, and whose files grow and
// shrink, each result is that of parsing the file alone. Buffers keep the text of the configuration in force and
// release others.
func TestTextBuffersAlternate(t *testing.T) {
	small := string(generatedText(10, 200, 300))
	large := string(generatedText(20, 2000, 9000))
	if len(small) >= minBufferedSize || len(large) <= minBufferedSize {
		t.Fatalf("texts of %d and %d bytes", len(small), len(large))
	}
	test := bufferTest{path: filepath.Join(t.TempDir(), "c.yaml"), used: map[int]int{}}
	test.write(t, large)
	loaded, err := Load(test.path)
	if err != nil {
		t.Fatal(err)
	}
	test.inForce = loaded
	for i, reload := range []bufferedReload{
		{strings.Replace(large, "quota: 7}", "quota: 8}", 1), true},
		{strings.Replace(large, "quota: 7}", "quota: 9}", 1), true},
		{strings.Replace(large, "/r00003", "/other", 1), false},
		{strings.Replace(large, "quota: 8}", "quota: 1}", 1), true},
		{strings.Replace(large, "quota: 8}", "quota: -1}", 1), false},
		{large + strings.Repeat("# more\n", 1<<16), true}, // needs a larger buffer
		{large, true},
		{small, true},
		{large, true},
		{strings.Replace(large, "name: route-00007,", "name: &a route-00007,", 1), true}, // parsed as a whole
		{large, true},
		{strings.Replace(large, "quota: 7}", "quota: 8}", 1), true},
	} {
		test.write(t, reload.text)
		err := test.reload(t, i, reload)
		test.checkTextInForce(t, i)
		if err != nil || reload.adopted {
			test.checkOthersReleased(t, i)
		}
	}
	if test.used[0] < 2 || test.used[1] < 2 || test.used[notBuffered] < 2 {
		t.Errorf("number of texts by buffer: %v, want at least 2 each", test.used)
	}
}

func (b *bufferTest) write(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(b.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// reload reloads the file, compares the result with parsing the text alone, and puts it in force if that is wanted.
func (b *bufferTest) reload(t *testing.T, i int, reload bufferedReload) error {
	t.Helper()
	want, wantErr := Parse(b.path, []byte(reload.text))
	next, err := Reload(b.path, b.inForce)
	if (err == nil) != (wantErr == nil) {
		t.Fatalf("%d: %v, want %v", i, err, wantErr)
	}
	if err != nil {
		return err
	}
	if contentOf(next) != contentOf(want) {
		t.Fatalf("%d: %s", i, firstDifference(next, want))
	}
	if reload.adopted {
		b.inForce = next
		next.Commit()
		b.used[next.bufferIndex]++
	}
	return nil
}

// checkTextInForce fails if the text of the configuration in force has been released.
func (b *bufferTest) checkTextInForce(t *testing.T, i int) {
	t.Helper()
	source := b.inForce.source
	if source != nil && (len(source.text) == 0 || source.text[0] != 'l') {
		t.Fatalf("%d: the text in force has been released", i)
	}
}

// checkOthersReleased fails if a buffer still holds a text that is not in force.
func (b *bufferTest) checkOthersReleased(t *testing.T, i int) {
	t.Helper()
	isNotZero := func(r byte) bool { return r != 0 }
	for index, buffer := range b.inForce.buffers.memory {
		if index != b.inForce.bufferIndex && slices.ContainsFunc(buffer, isNotZero) {
			t.Errorf("%d: buffer %d still holds a text; the text in force is in %d", i, index, b.inForce.bufferIndex)
		}
	}
}

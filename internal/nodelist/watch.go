package nodelist

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// settle is how long after a change a file is read: a writer that does not replace it at once writes in pieces, and
// each piece is a change.
const settle = 20 * time.Millisecond

// Watch follows the list in a file until the context ends: told gets each list that differs in time, failed each reason
// why the one before still holds. The file may be replaced, or reached by a symbolic link that is (as a Kubernetes
// ConfigMap does), so its folder is watched, and at every interval the file is read in any case: what is not told by the
// system (network file systems) is then found late rather than never.
func Watch(ctx context.Context, path string, every time.Duration, told func(List), failed func(error)) error {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("watching %s: %w", path, err)
	}
	defer w.Close()
	if err := w.Add(filepath.Dir(path)); err != nil {
		return fmt.Errorf("watching %s: %w", path, err)
	}
	read := func() {
		if l, err := Load(path); err != nil {
			failed(err)
		} else {
			told(l)
		}
	}
	read()
	next := time.NewTimer(every)
	defer next.Stop()
	for {
		select {
		case _, open := <-w.Events: // of any file there: a link's target has another name
			if !open {
				return nil
			}
			next.Reset(settle)
		case err, open := <-w.Errors:
			if !open {
				return nil
			}
			failed(fmt.Errorf("watching %s: %w", path, err))
		case <-next.C:
			read()
			next.Reset(every)
		case <-ctx.Done():
			return nil
		}
	}
}

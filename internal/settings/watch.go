package settings

import (
	"bytes"
	"os"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/telemetry"
)

// Watch notices changes of the settings file, told by a signal or silent.
type Watch struct {
	Path string
	Take func(*Settings)

	mu   sync.Mutex
	last []byte
}

const lookEach = 2 * clock.Second

// Run looks at the file from time to time, for good.
func (w *Watch) Run() {
	if b, err := os.ReadFile(w.Path); err == nil {
		w.last = b
	}
	concurrency.Every(lookEach, func() bool {
		w.Look()
		return true
	})
}

// Look takes the file in if it has changed. Settings at fault change nothing.
func (w *Watch) Look() {
	b, err := os.ReadFile(w.Path)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if bytes.Equal(b, w.last) {
		return
	}
	w.last = b
	s, errs := Parse(b)
	if len(errs) > 0 {
		telemetry.Trouble("changed settings at fault, kept the old", "err", errs[0])
		return
	}
	telemetry.State("settings changed")
	w.Take(s)
}

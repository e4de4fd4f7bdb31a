package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the lines of record.txt, each with the time since the start in seconds.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// logf writes a line.
func (r *recorder) logf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// seconds returns the time since the start of the record.
func (r *recorder) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

package grpc

import (
	"os"
	"time"

	"docksail/internal/config"
	"docksail/internal/eventloop"
	"docksail/internal/state/endpointlist"
)

// listFile is the content of the endpoint list file.
type listFile struct {
	endpoints []endpointlist.Endpoint
	warnings  []string
	modTime   time.Time
}

// pollFile reads the file on another goroutine if it has changed, and sets the timer of the next check.
func (w *endpointWatcher) pollFile(now eventloop.Nanos) {
	b, name, modTime := w.backend, w.file, w.fileModTime
	go func() {
		file, err := readListFile(name, modTime)
		b.loop.Post(func() { w.fileRead(file, err) })
	}()
	b.loop.SetTimer(&w.timer, now+w.checkInterval, w.pollFile)
}

// fileRead applies the result of reading the file. It runs on the loop.
func (w *endpointWatcher) fileRead(file listFile, err error) {
	b := w.backend
	if err != nil {
		b.log.Warn("endpoint list file not read", "file", w.file, "error", err)
		return
	}
	if file.modTime.Equal(w.fileModTime) {
		return
	}
	w.fileModTime = file.modTime
	for _, warning := range file.warnings {
		b.log.Warn("endpoint list file has a former name", "file", w.file, "former_name", warning)
	}
	if err := w.apply(b.loop.Now(), b.list.Version()+1, true, file.endpoints); err != nil {
		b.log.Warn("endpoint list file rejected", "file", w.file, "error", err)
	}
}

// readListFile reads the file unless its modification time is still modTime.
func readListFile(name string, modTime time.Time) (listFile, error) {
	unchanged := listFile{modTime: modTime}
	info, err := os.Stat(name)
	if err != nil || info.ModTime().Equal(modTime) {
		return unchanged, err
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return unchanged, err
	}
	endpoints, warnings, err := config.ParseServers(name, text)
	if err != nil {
		return unchanged, err
	}
	return listFile{endpoints: endpoints, warnings: warnings, modTime: info.ModTime()}, nil
}

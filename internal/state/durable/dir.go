// Package durable makes changes of directories durable.
package durable

import "os"

// SyncDir makes the entries of a directory durable: files that were created in it, or renamed into or within it.
func SyncDir(name string) error {
	dir, err := os.Open(name)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

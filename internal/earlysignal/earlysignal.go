// Package earlysignal receives signals from the first moment at which a Go program can. A program that asks for them in
// main is ended by one that arrives before, while its packages are initialized. This package imports as little as
// possible, so that it is initialized among the first.
package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
)

// maxEnds is the number of signals to end that are kept. The first makes a dispatcher drain, a second may end it at
// once.
const maxEnds = 2

// The channels are separate so that orders to reload, of which one is as good as many, cannot displace an order to end.
var (
	reload = notify(1, syscall.SIGHUP)
	end    = notify(maxEnds, syscall.SIGTERM, syscall.SIGINT)
)

func notify(capacity int, signals ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, capacity)
	signal.Notify(c, signals...)
	return c
}

// Reload returns the channel on which SIGHUP arrives.
func Reload() <-chan os.Signal { return reload }

// End returns the channel on which SIGTERM and SIGINT arrive.
func End() <-chan os.Signal { return end }

// Restore gives the signals their usual effect, which is to end the program. A program that receives from neither
// channel calls it.
func Restore() {
	signal.Reset(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	select {
	case s := <-end: // it came before Restore
		_ = syscall.Kill(os.Getpid(), s.(syscall.Signal)) // cannot fail for the own process
	default:
	}
}

package scale

import (
	"context"
	"path/filepath"
	"time"

	"topazfall/internal/snapshot"
)

// metricSave names the metric of how long the machine takes to save a small file in the way that agents do. It is
// measured beside the distributors, because each change waits for several such saves in sequence, and other processes
// use the disk too.
const metricSave = "time of a save of a small file, while changes are carried"

const saveInterval = 100 * time.Millisecond

// timeSaves saves a small file in dir repeatedly until the context ends, and returns the times in milliseconds.
func timeSaves(ctx context.Context, dir string) (elapsed []float64, err error) {
	for ctx.Err() == nil {
		start := time.Now()
		if err := snapshot.Write(filepath.Join(dir, "save"), "pace", nil); err != nil {
			return elapsed, err
		}
		elapsed = append(elapsed, time.Since(start).Seconds()*1e3)
		sleep(ctx, saveInterval) // its error is the context's, which the loop condition checks
	}
	return elapsed, nil
}

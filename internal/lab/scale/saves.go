package scale

import (
	"context"
	"path/filepath"
	"time"

	"topazfall/internal/snapshot"
)

// figureSave is how long the machine takes to save a small file as the agents do while carriers are measured: each
// change waits for some saves in turn, and others use the disk too.
const figureSave = "time of a save of a small file, while changes are carried"

const saveEvery = 100 * time.Millisecond

// timeSaves saves a small file in dir again and again until the context ends, and returns how long each took.
func timeSaves(ctx context.Context, dir string) (took []float64, err error) {
	for ctx.Err() == nil {
		began := time.Now()
		if err := snapshot.Write(filepath.Join(dir, "save"), "pace", nil); err != nil {
			return took, err
		}
		took = append(took, time.Since(began).Seconds()*1e3)
		sleep(ctx, saveEvery) // its error is the context's, which the loop looks at
	}
	return took, nil
}

package instance

import (
	"context"
	"errors"
	"strconv"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/manifest"
)

// storeRetryDelay is the pause after a failed call to the platform.
const storeRetryDelay = 500 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchConfiguration follows the manifest in the platform.
func (in *Instance) watchConfiguration(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		var after int64
		if c := in.snapshot.Load(); c != nil {
			after = c.Version
		}
		object, err := in.store.Watch(ctx, manifest.ObjectName, after)
		failed := err != nil && !errors.Is(err, tamarackrun.ErrUnchanged) && !errors.Is(err, tamarackrun.ErrNotFound)
		if failed && ctx.Err() == nil && reachable {
			in.history.Record(event.StoreUnreachable, "", "error", err.Error())
		}
		if !failed && !reachable {
			in.history.Record(event.StoreReachable, "")
		}
		reachable = !failed
		if err == nil {
			err = in.accept(ctx, object)
		}
		if err != nil && !errors.Is(err, tamarackrun.ErrUnchanged) {
			pause(ctx, storeRetryDelay)
		}
	}
}

// accept puts a manifest in force if its version is higher than the present
// one.
func (in *Instance) accept(ctx context.Context, object tamarackrun.Object) error {
	m, err := manifest.Decode(object.Value)
	if err != nil {
		return in.reject(object.Version, err)
	}
	text, err := manifest.Join(m, func(hash string) ([]byte, error) {
		chunk, err := in.store.Get(ctx, manifest.ChunkName(hash))
		return chunk.Value, err
	})
	if err != nil {
		return err
	}
	snapshot, problems := document.Parse("stored document", text)
	if len(problems) > 0 {
		return in.reject(object.Version, errors.New(problems[0].String()))
	}
	versioned := snapshot.WithVersion(object.Version)
	for {
		current := in.snapshot.Load()
		if current != nil && current.Version >= object.Version {
			return nil
		}
		if in.snapshot.CompareAndSwap(current, &versioned) {
			break
		}
	}
	in.history.Record(event.ConfigurationAccepted, "", "version", strconv.FormatInt(object.Version, 10))
	in.rates.share(&versioned)
	in.homes.place(&versioned)
	in.publishState()
	return nil
}

func (in *Instance) reject(version int64, err error) error {
	in.history.Record(event.ConfigurationRejected, "", "version", strconv.FormatInt(version, 10), "error", err.Error())
	return err
}

package concurrency

import "math/rand/v2"

// IntN draws from 0 to n-1.
func IntN(n int) int { return int(Int64N(int64(n))) }

// Int64N draws from 0 to n-1.
func Int64N(n int64) int64 {
	if w := world.Load(); w != nil {
		return w.rnd.Int64N(n)
	}
	return rand.Int64N(n)
}

// Uint64 draws any number.
func Uint64() uint64 {
	if w := world.Load(); w != nil {
		return w.rnd.Uint64()
	}
	return rand.Uint64()
}

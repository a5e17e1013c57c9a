// Package mix spreads the bits of numbers that are nearly alike, as hashes of names that differ in their last byte.
package mix

// Bits returns x with its bits spread over all places: the finalizer of SplitMix64, one to one.
func Bits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

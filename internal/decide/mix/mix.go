// Package mix mixes the bits of similar numbers, such as hashes of names that differ only in their last byte.
package mix

// Bits returns x with its bits mixed by the finalizer of SplitMix64, which is a bijection.
func Bits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

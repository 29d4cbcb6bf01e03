// Package ranker ranks candidates for an item by hashes, for rendezvous hashing (D.
// Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
// Transactions on Networking 6, 1998): the item goes to the candidates that rank highest
// for it, so that one that comes or goes moves few other items.
package ranker

// golden is 2^64 divided by the golden ratio.
const golden = 0x9e3779b97f4a7c15

// Rank returns the rank of a candidate for an item, given a hash of the item and a
// number of the candidate. It scrambles their bits (the finalizer of SplitMix64; G.
// Steele, D. Lea, C. Flood, "Fast splittable pseudorandom number generators", OOPSLA
// 2014).
func Rank(item, candidate uint64) uint64 {
	x := item + candidate*golden
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

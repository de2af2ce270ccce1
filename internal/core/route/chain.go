package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A prompt is tracked in blocks of fixed size.
const (
	// BlockBytes is the length of a prompt block in bytes.
	BlockBytes = 256
	// BlockTokens is the length of a prompt block in tokens, assuming 4 bytes
	// per token.
	BlockTokens = BlockBytes / 4
	// MaxBlocks is the maximum number of blocks that are tracked of a prompt.
	MaxBlocks = 64
)

// Chain returns the digests of the first MaxBlocks complete blocks of prompt.
// Each digest covers the prompt from its start to the end of the block.
func Chain(prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	return AppendChain(make([]uint64, 0, n), prompt)
}

// AppendChain appends the digests of prompt to dst. It does not allocate if dst
// has sufficient capacity.
func AppendChain(dst []uint64, prompt []byte) []uint64 {
	var block [8 + BlockBytes]byte
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	var digest uint64
	for i := range n {
		binary.LittleEndian.PutUint64(block[:8], digest)
		copy(block[8:], prompt[i*BlockBytes:(i+1)*BlockBytes])
		digest = xxhash.Sum64(block[:])
		dst = append(dst, digest)
	}
	return dst
}

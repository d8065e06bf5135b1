package blgrpc

import (
	"google.golang.org/grpc/experimental"
	"google.golang.org/grpc/mem"
)

// bufferSizes are the sizes of gRPC's buffers, as powers of two. Without those from 64 to
// 512 KB a message just above 32 KB, such as an order with a body, takes a buffer of 1 MB.
var bufferSizes = []uint8{8, 12, 14, 15, 16, 17, 18, 19, 20}

// init sets the sizes for the encoding of messages, which gRPC allows only here.
func init() {
	if pool, err := mem.NewBinaryTieredBufferPool(bufferSizes...); err == nil {
		experimental.SetDefaultBufferPool(pool)
	}
}

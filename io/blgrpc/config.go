package blgrpc

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"

	"bergamotlead/core/blconfig"
	"bergamotlead/io/blgrpc/blproto"
)

const (
	// configPartBytes is the size of one part of a configuration on the wire.
	configPartBytes = 16 << 10
	// configProgressTimeout is how long a fetch waits for the next part. The time
	// for a whole configuration depends on its size and on the link.
	configProgressTimeout = time.Second
	// maxConfigBytes is the maximum size of a decompressed configuration.
	maxConfigBytes = 2 << 20
)

// Decode parses a configuration that another node has sent as text.
type Decode func(revision uint64, source []byte) (blconfig.Accepted, error)

// ConfigTooLargeError reports a configuration of more than maxConfigBytes.
type ConfigTooLargeError struct{}

// Error implements error.
func (ConfigTooLargeError) Error() string {
	return fmt.Sprintf("configuration exceeds %d bytes", maxConfigBytes)
}

// ConfigStalledError reports a fetch of which nothing arrived for
// configProgressTimeout.
type ConfigStalledError struct{}

// Error implements error.
func (ConfigStalledError) Error() string {
	return fmt.Sprintf("no part of the configuration for %s", configProgressTimeout)
}

// configEncoder compresses configurations and keeps the latest result, since many
// nodes fetch the same one.
type configEncoder struct {
	mu         sync.Mutex
	digest     uint64
	compressed []byte
}

func (e *configEncoder) encode(config blconfig.Accepted) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.compressed != nil && e.digest == config.Digest {
		return e.compressed, nil
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if _, err := io.WriteString(writer, config.Source); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	e.digest, e.compressed = config.Digest, buffer.Bytes()
	return e.compressed, nil
}

func decompressConfig(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	source, err := io.ReadAll(io.LimitReader(reader, maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	if len(source) > maxConfigBytes {
		return nil, ConfigTooLargeError{}
	}
	return source, nil
}

// FetchConfig implements the Node service.
func (s *Server) FetchConfig(r *blproto.FetchConfigRequest, stream grpc.ServerStreamingServer[blproto.ConfigPart]) error {
	config := s.node.LatestConfig()
	known := blconfig.Position{Version: r.GetVersion(), Revision: r.GetRevision()}
	if !config.Position().LaterThan(known) || config.Digest == r.GetDigest() {
		return nil
	}
	rest, err := s.configs.encode(config)
	if err != nil {
		return err
	}
	for len(rest) > 0 {
		size := min(len(rest), configPartBytes)
		if err := stream.Send(&blproto.ConfigPart{Revision: config.Revision, Document: rest[:size]}); err != nil {
			return fmt.Errorf("send configuration: %w", err)
		}
		rest = rest[size:]
	}
	return nil
}

// FetchConfig fetches the configuration of the node at address. It returns one of
// revision zero if that isn't later than known. A fetch that makes no progress for
// configProgressTimeout fails.
func (c *Client) FetchConfig(ctx context.Context, address string, known blconfig.Accepted) (blconfig.Accepted, error) {
	node, err := c.peer(address)
	if err != nil {
		return blconfig.Accepted{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progress := time.AfterFunc(configProgressTimeout, func() { cancel(ConfigStalledError{}) })
	defer progress.Stop()
	revision, compressed, err := receiveConfig(ctx, node, known, progress)
	if errors.Is(context.Cause(ctx), ConfigStalledError{}) {
		node.suspect() //nolint:contextcheck // the probe outlives the call
		err = ConfigStalledError{}
	}
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("fetch configuration from %s: %w", address, err)
	}
	if revision == 0 {
		return blconfig.Accepted{}, nil
	}
	return c.decodeConfig(revision, compressed)
}

// receiveConfig returns the revision and the compressed text of a node's
// configuration, and restarts the timer with each part.
func receiveConfig(
	ctx context.Context, node blproto.NodeClient, known blconfig.Accepted, progress *time.Timer,
) (uint64, []byte, error) {
	stream, err := node.FetchConfig(ctx, &blproto.FetchConfigRequest{
		Revision: known.Revision, Digest: known.Digest, Version: known.Version,
	})
	if err != nil {
		return 0, nil, err //nolint:wrapcheck // FetchConfig names the call
	}
	var revision uint64
	var compressed []byte
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return revision, compressed, nil
		}
		if err != nil {
			return 0, nil, err //nolint:wrapcheck // FetchConfig names the call
		}
		progress.Reset(configProgressTimeout)
		revision = part.GetRevision()
		compressed = append(compressed, part.GetDocument()...)
		if len(compressed) > maxConfigBytes {
			return 0, nil, ConfigTooLargeError{}
		}
	}
}

func (c *Client) decodeConfig(revision uint64, compressed []byte) (blconfig.Accepted, error) {
	source, err := decompressConfig(compressed)
	if err != nil {
		return blconfig.Accepted{}, err
	}
	accepted, err := c.decode(revision, source)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("decode configuration of a node: %w", err)
	}
	return accepted, nil
}

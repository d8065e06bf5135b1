package bltests_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"bergamotlead/io/blgrpc/blproto"
)

const (
	// largeBodyBytes is the size of the large bodies of the crowds, which the limit of
	// the configuration allows, and missingBytes how many of them aren't sent.
	largeBodyBytes = 1 << 20
	missingBytes   = 10
	pieceBytes     = 16 << 10
	// emptyLineBytes is how many bytes of empty lines a client sends before a request.
	emptyLineBytes = 1_000_000
	// endlessBytes is how many bytes a client sends at most whose bytes have no end.
	endlessBytes = 4 << 20
)

func (c crowdClient) write(text string) error {
	_, err := c.Write([]byte(text))
	return err
}

// writeRepeated writes the text until it has written count bytes.
func (c crowdClient) writeRepeated(text string, count int) error {
	block := strings.Repeat(text, max(pieceBytes/len(text), 1))
	for sent := 0; sent < count; sent += len(block) {
		if err := c.write(block[:min(len(block), count-sent)]); err != nil {
			return err
		}
	}
	return nil
}

// sendHeaderLines sends a head of 15,000 lines of one name, and a part of a body.
func sendHeaderLines(c crowdClient) error {
	const lines = 15_000
	return c.write(c.startLines() + strings.Repeat("a:\r\n", lines) + "Content-Length: 1000\r\n\r\n7777777777")
}

// sendDistinctNames sends a head of 8,000 lines of different names, and a part of a body.
func sendDistinctNames(c crowdClient) error {
	const lines, base = 8000, 26
	var text bytes.Buffer
	for i := range lines {
		text.Write([]byte{'a' + byte(i%base), 'a' + byte(i/base%base), 'a' + byte(i/base/base), ':', '\r', '\n'})
	}
	return c.write(c.startLines() + text.String() + "Content-Length: 1000\r\n\r\n7777777777")
}

// sendLinesWithinLimit sends a head with nearly as many lines as are allowed, and a part of
// a body.
func sendLinesWithinLimit(c crowdClient) error {
	const lines = 5500
	var text strings.Builder
	for i := range lines {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return c.write(c.startLines() + text.String() + "Content-Length: 1000\r\n\r\n7777777777")
}

// sendEndlessHead sends lines of a head. Every other client stops below the limit on the
// bytes of a head, without its end.
func sendEndlessHead(c crowdClient) error {
	const belowLimit = 60_000
	if err := c.write(c.startLines()); err != nil {
		return err
	}
	if c.number%2 == 0 {
		return c.writeRepeated("a:\r\n", belowLimit)
	}
	return c.writeRepeated("a:\r\n", endlessBytes)
}

func sendEmptyLines(c crowdClient) error {
	return c.writeRepeated("\r\n", emptyLineBytes)
}

func (c crowdClient) largeBodyHead() string {
	return c.startLines() + fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBodyBytes)
}

// sendWholeBody sends a body at once, without its last bytes.
func sendWholeBody(c crowdClient) error {
	return c.write(c.largeBodyHead() + strings.Repeat("7", largeBodyBytes-missingBytes))
}

// sendBodyInPieces sends a body piece by piece, without its last bytes.
func sendBodyInPieces(c crowdClient) error {
	const pause = 5 * time.Millisecond
	if err := c.write(c.largeBodyHead()); err != nil {
		return err
	}
	piece := strings.Repeat("7", pieceBytes)
	for sent := 0; sent < largeBodyBytes; sent += pieceBytes {
		if err := c.write(piece[:min(pieceBytes, largeBodyBytes-missingBytes-sent)]); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// sendChunkedBody sends a body of unknown length in chunks, without its end.
func sendChunkedBody(c crowdClient) error {
	const chunkBytes = 1000
	if err := c.write(c.startLines() + "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	return c.writeRepeated(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("7", chunkBytes)), largeBodyBytes-pieceBytes)
}

// sendEndlessTrailer sends a whole body in chunks, and then lines of a trailer.
func sendEndlessTrailer(c crowdClient) error {
	if err := c.write(c.startLines() + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\n7\r\n0\r\n"); err != nil {
		return err
	}
	return c.writeRepeated("a: b\r\n", endlessBytes)
}

// sendSlowBody sends most of a body at once, and then a byte each second.
func sendSlowBody(c crowdClient) error {
	const lengthBytes, atOnceBytes, more = 64 << 10, 60 << 10, 4
	head := c.startLines() + fmt.Sprintf("Content-Length: %d\r\n\r\n", lengthBytes)
	if err := c.write(head + strings.Repeat("7", atOnceBytes)); err != nil {
		return err
	}
	for range more {
		time.Sleep(time.Second)
		_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
		if err := c.write("7"); err != nil {
			return err
		}
	}
	return nil
}

func sendNothing(crowdClient) error { return nil }

// sendUnfinishedMessages begins many calls of a node, each with a large message without
// its last bytes.
func sendUnfinishedMessages(c crowdClient) error {
	const streams, sentBytes, messageBytes = 60, 200_000, 1_900_000
	if err := c.write(http2.ClientPreface); err != nil {
		return err
	}
	framer := http2.NewFramer(c, c)
	if err := framer.WriteSettings(); err != nil {
		return err
	}
	var head bytes.Buffer
	encoder := hpack.NewEncoder(&head)
	message := make([]byte, pieceBytes)
	for i := range uint32(streams) {
		head.Reset()
		for _, field := range [][2]string{
			{":method", "POST"}, {":scheme", "http"}, {":path", blproto.Node_Deliver_FullMethodName}, {":authority", "node"},
			{"content-type", "application/grpc"}, {"te", "trailers"},
		} {
			_ = encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
		}
		stream := 2*i + 1
		if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: head.Bytes(), EndHeaders: true}); err != nil {
			return err
		}
		prefix := binary.BigEndian.AppendUint32([]byte{0}, messageBytes)
		if err := framer.WriteData(stream, false, prefix); err != nil {
			return err
		}
		for sent := 0; sent < sentBytes; sent += len(message) {
			if err := framer.WriteData(stream, false, message); err != nil {
				return err
			}
		}
	}
	return nil
}

// sendMixed lets the clients behave in all ways in turn.
func sendMixed(c crowdClient) error {
	kinds := []func(crowdClient) error{
		sendHeaderLines, sendDistinctNames, sendEndlessHead, sendEmptyLines, sendWholeBody, sendBodyInPieces,
		sendChunkedBody, sendEndlessTrailer, sendSlowBody, sendNothing,
	}
	return kinds[c.number%len(kinds)](c)
}

// TestCrowdsStayWithinTheHost guards against clients that bring down a process: requests
// of legal size that cost much more than their bytes, heads, bodies and trailers without
// end, and connections on which nothing is sent filled its memory and its descriptors.
func TestCrowdsStayWithinTheHost(t *testing.T) {
	crowds := []crowd{
		{name: "header_lines", clients: 240, descriptors: crowdDescriptors, send: sendHeaderLines},
		{name: "distinct_names", clients: 240, descriptors: crowdDescriptors, send: sendDistinctNames},
		{name: "lines_within_limit", clients: 240, descriptors: crowdDescriptors, send: sendLinesWithinLimit},
		{name: "endless_heads", clients: 240, descriptors: crowdDescriptors, send: sendEndlessHead},
		{name: "empty_lines", clients: 120, descriptors: crowdDescriptors, send: sendEmptyLines},
		{name: "whole_bodies", clients: 480, descriptors: crowdDescriptors, send: sendWholeBody},
		{name: "bodies_in_pieces", clients: 320, descriptors: crowdDescriptors, send: sendBodyInPieces},
		{name: "chunked_bodies", clients: 320, descriptors: crowdDescriptors, send: sendChunkedBody},
		{name: "endless_trailers", clients: 120, descriptors: crowdDescriptors, send: sendEndlessTrailer},
		{name: "slow_bodies", clients: 480, descriptors: crowdDescriptors, send: sendSlowBody},
		{name: "silent", clients: 600, descriptors: fewDescriptors, send: sendNothing},
		{name: "silent_at_nodes", clients: 600, descriptors: fewDescriptors, nodes: true, send: sendNothing},
		{name: "unfinished_messages_at_nodes", clients: 8, descriptors: crowdDescriptors, nodes: true, send: sendUnfinishedMessages},
		{name: "mixed", clients: 400, descriptors: crowdDescriptors, send: sendMixed},
	}
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) { checkCrowd(t, c) })
	}
}

// TestUploadsBetweenNodesStayWithinTheHosts guards against unfinished uploads that fill the
// node to which they are passed on, or the one that passes them on.
func TestUploadsBetweenNodesStayWithinTheHosts(t *testing.T) {
	f := deployLimitedHosts(t, 2, crowdDescriptors)
	watches := watchHosts(f.Hosts...)
	run := f.startCrowd(crowd{name: "uploads", clients: 320, send: sendWholeBody}, f.Hosts[0])
	run.awaitSent(t)
	status, sent := f.awaitOrdinary(f.Hosts[0])
	endWatches(t, watches)
	run.end()
	if status != http.StatusOK {
		t.Errorf("ordinary request: got %d after %d attempts, want %d", status, sent, http.StatusOK)
	}
}

// TestUnreadResponsesStayWithinTheHost guards against callers that don't read large
// responses: each may keep a part of one in the memory of the process.
func TestUnreadResponsesStayWithinTheHost(t *testing.T) {
	const callers = 200
	f := deployLimited(t, crowdDescriptors)
	host := f.Hosts[0]
	f.setUpstreamFaults(host.Upstreams[0], map[string]any{"answer_bytes": 16 << 20})
	watches := watchHosts(host)
	run := f.startCrowd(crowd{name: "unread", clients: callers, send: func(c crowdClient) error {
		return c.write(c.startLines() + "Content-Length: 1\r\n\r\n1")
	}}, host)
	descriptors := run.awaitSent(t)
	f.setUpstreamFaults(host.Upstreams[0], map[string]any{"answer_bytes": 0})
	status, sent := f.awaitOrdinary(host)
	endWatches(t, watches)
	run.end()
	t.Logf("at most %d descriptors, ordinary request: %d after %d attempts", descriptors, status, sent)
	if status != http.StatusOK {
		t.Errorf("ordinary request: got %d, want %d", status, http.StatusOK)
	}
}

// TestSingleLegalRequest guards against limits that refuse a request inside the
// platform's limits although there is no pressure.
func TestSingleLegalRequest(t *testing.T) {
	const (
		headBytes = 16_000
		lines     = 500
	)
	f := deployLimited(t, fewDescriptors)
	cases := []struct {
		name, field, body string
		fields            int
	}{
		{"one long field", strings.Repeat("v", headBytes), "1", 1},
		{"many fields", "value", "1", lines},
		{"large body", "value", strings.Repeat("7", largeBodyBytes-missingBytes), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
				"http://"+f.Hosts[0].CallerAddress+"/pot/single/contributions", strings.NewReader(c.body))
			if err != nil {
				t.Fatalf("build request: %v", err)
			}
			request.Header.Set("Authorization", "Bearer "+f.ClientKeys[account])
			for i := range c.fields {
				request.Header.Set(fmt.Sprintf("X-Field-%d", i), c.field)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatalf("send request: %v", err)
			}
			_ = response.Body.Close()
			if got := response.StatusCode; got != http.StatusOK {
				t.Errorf("status: got %d, want %d", got, http.StatusOK)
			}
		})
	}
}

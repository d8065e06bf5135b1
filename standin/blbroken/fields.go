package blbroken

import (
	"strconv"
	"strings"
)

// InvalidLines returns lines of a head whose names aren't those of HTTP fields. Readers
// differ in what they take those with a blank for, and so in where the body ends.
func InvalidLines() []string {
	return []string{
		"Bad Name: x", "Bad : x", "Content-Length : 2", "Transfer-Encoding : chunked", "Connection : close", "Request-Id : id",
		"Trailer : X", ": x", "Bad\tName: x", "Bad\x01Name: x", "Bad\x00: x", "Bad\x7f: x", "B\u00e4d: x", "Bad(Name): x",
	}
}

// WithInvalidLine returns responses that have an invalid line in one of their heads, in the
// trailer, or its name among those that the head announces for the trailer. Their valid
// heads have the given fields as well, and their bodies the given text.
func WithInvalidLine(line, fields, body string) map[string]string {
	const ok, failed = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Internal Server Error\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n"
	framed := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	chunk := strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n"
	line += "\r\n"
	responses := map[string]string{
		"head":              ok + line + fields + framed,
		"last line of head": ok + fields + line + framed,
		"head without body": ok + fields + line + "Content-Length: 0\r\n\r\n",
		"head of a failure": failed + fields + line + framed,
		"interim head":      "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + ok + fields + framed,
		"trailer":           ok + fields + chunked + "\r\n" + chunk + "0\r\n" + line + "\r\n",
	}
	if name, _, _ := strings.Cut(line, ":"); name != "" && name == strings.TrimSpace(name) {
		responses["announced trailer"] = ok + fields + chunked + "Trailer: " + name + "\r\n\r\n" + chunk + "0\r\n\r\n"
	}
	return responses
}

// InvalidStatuses returns statuses, with their texts, that end no request.
func InvalidStatuses() []string {
	return []string{"000 ", "000 OK", "007 Odd", "099 Odd", "101 Switching Protocols", "600 Odd", "999 Odd", "+20 Odd"}
}

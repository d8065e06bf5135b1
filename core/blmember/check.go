package blmember

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"bergamotlead/core/blvalue"
)

const (
	// maxSlots is the maximum number of slots of an upstream.
	maxSlots = 1 << 16
	// maxStartMS is the latest start time of an upstream, in milliseconds since the
	// Unix epoch: the year 2100. A later one would make each following announcement
	// out of date.
	maxStartMS = 4_102_444_800_000
	// maxSequence is the highest number of an announcement.
	maxSequence = 1 << 40
	// maxColdTime is the longest cold start.
	maxColdTime = time.Hour
	maxPort     = 1<<16 - 1
)

// InvalidAnnouncementError reports an announcement that describes no usable
// upstream.
type InvalidAnnouncementError struct {
	// Field is the field that can't be used.
	Field string
	// Reason says why.
	Reason string
}

// Error implements error.
func (e InvalidAnnouncementError) Error() string {
	return "announcement: " + e.Field + ": " + e.Reason
}

// Check returns an InvalidAnnouncementError if the announcement describes no usable
// upstream.
func (a Announcement) Check() error {
	switch {
	case a.Upstream.Name == "":
		return InvalidAnnouncementError{Field: "name", Reason: "is missing"}
	case a.Upstream.Incarnation == "":
		return InvalidAnnouncementError{Field: "incarnation", Reason: "is missing"}
	case a.Upstream.Service == "":
		return InvalidAnnouncementError{Field: "service", Reason: "is missing"}
	}
	if err := checkAddress(a.Address); err != nil {
		return err
	}
	for _, number := range []struct {
		field string
		value int64
		most  int64
	}{
		{"slots", int64(a.Upstream.Slots), maxSlots},
		{"start time", a.Upstream.StartedAt, maxStartMS},
		{"sequence", int64(min(a.Sequence, maxSequence+1)), maxSequence},
		{"cold start in ms", a.ColdFor.Milliseconds(), maxColdTime.Milliseconds()},
	} {
		if number.value < 0 || number.value > number.most {
			return InvalidAnnouncementError{Field: number.field, Reason: fmt.Sprintf("%d isn't from 0 to %d", number.value, number.most)}
		}
	}
	return nil
}

// CheckService returns an InvalidAnnouncementError if the announcement is for another
// service than that of the node's own upstream, so that another sender wrote it.
func (a Announcement) CheckService(own blvalue.ServiceName) error {
	if a.Upstream.Service == own {
		return nil
	}
	reason := strconv.Quote(string(a.Upstream.Service)) + " isn't this host's service, " + strconv.Quote(string(own))
	return InvalidAnnouncementError{Field: "service", Reason: reason}
}

func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return InvalidAnnouncementError{Field: "address", Reason: strconv.Quote(address) + " isn't a host and a port"}
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > maxPort {
		return InvalidAnnouncementError{Field: "address", Reason: "port " + strconv.Quote(port) + " isn't from 1 to " + strconv.Itoa(maxPort)}
	}
	return nil
}

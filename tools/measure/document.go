package main

import (
	"bergamotlead/core/blconfig"
	"bergamotlead/io/blsettings"
)

func mustParse(text string) blconfig.Document {
	document, err := blsettings.ParseDocument([]byte(text))
	if err != nil {
		panic(err)
	}
	return document
}

// withValue returns the document with one value replaced. The setting keeps its
// reason.
func withValue(d blconfig.Document, section, entry, option string, value blconfig.Value) blconfig.Document {
	path := blconfig.Path{Section: section, Entry: entry, Option: option}
	setting, _ := d.Get(path)
	setting.Value = value
	return d.With(path, setting)
}

func integer(value int64) blconfig.Value {
	return blconfig.Value{Kind: blconfig.KindInteger, Integer: value}
}

// withAccountRates returns an edit that sets the accounts' rates and bursts.
func withAccountRates(accounts []account) func(blconfig.Document) blconfig.Document {
	return func(d blconfig.Document) blconfig.Document {
		for _, a := range accounts {
			d = withValue(d, "accounts", a.name, "rate", integer(int64(a.rate)))
			d = withValue(d, "accounts", a.name, "burst", integer(int64(a.burst)))
		}
		return d
	}
}

// withUpstreamHeadroom raises the slots and the queue length as far as the
// validation allows, so that the upstream is not the bottleneck, and gives one
// account a rate that does not limit it either.
func withUpstreamHeadroom(d blconfig.Document) blconfig.Document {
	for _, service := range []string{"pot", "wishlist"} {
		d = withValue(d, "services", service, "slots", integer(1024))
		d = withValue(d, "services", service, "cold_start_limit", integer(512))
	}
	d = withValue(d, "accounts", "family_app", "rate", integer(400000))
	d = withValue(d, "accounts", "family_app", "burst", integer(400000))
	return withValue(d, "limits", "", "queue_length", integer(4096))
}

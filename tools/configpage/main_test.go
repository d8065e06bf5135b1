package main

import (
	"os"
	"testing"
)

func TestPageIsUpToDate(t *testing.T) {
	t.Chdir("../..")
	want, err := render("configs/dakar.toml")
	if err != nil {
		t.Fatalf("render: got %v, want nil", err)
	}
	got, err := os.ReadFile("docs/CONFIGURATION.md")
	if err != nil {
		t.Fatalf("read page: %v", err)
	}
	if string(got) != want {
		t.Error("docs/CONFIGURATION.md: out of date, want the output of make config-page")
	}
}

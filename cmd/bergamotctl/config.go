package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/io/bloperator"
	"bergamotlead/io/blsettings"
)

type configCommands struct {
	Check   checkCommand   `cmd:"" help:"Check a document without sending it."`
	Explain explainCommand `cmd:"" help:"Explain each setting of a document, or of the one in force."`
	Show    showCommand    `cmd:"" help:"Show the document in force at a node."`
	Apply   applyCommand   `cmd:"" help:"Store a document and wait until it is in force on every node."`
	History historyCommand `cmd:"" help:"Show the latest changes."`
}

type checkCommand struct {
	File string `arg:"" help:"Document in TOML." type:"existingfile"`
}

// Run checks a document.
func (cmd checkCommand) Run(*client) error {
	text, err := os.ReadFile(cmd.File)
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	if _, err := blsettings.ParseDocument(text); err != nil {
		return fmt.Errorf("%s: %w", cmd.File, err)
	}
	fmt.Printf("%s: no faults\n", cmd.File)
	return nil
}

type explainCommand struct {
	File   string `arg:"" optional:"" help:"Document in TOML; without it the one in force." type:"existingfile"`
	Prefix string `help:"Show only settings whose path has this prefix, such as services.pot."`
}

// Run explains a document.
func (cmd explainCommand) Run(c *client) error {
	document, err := cmd.document(c)
	if err != nil {
		return err
	}
	var explanations []blconfig.Explanation
	for _, e := range blconfig.Explain(document) {
		if strings.HasPrefix(e.Path.String(), cmd.Prefix) {
			explanations = append(explanations, e)
		}
	}
	if c.json {
		return printJSON(explanations)
	}
	for _, e := range explanations {
		fmt.Printf("%s = %s\n  reason:  %s\n  allowed: %s\n  set by:  %s\n  acts on: %s\n\n",
			e.Path, e.Value, e.Reason, e.Allowed, e.SetBy, e.ActsOn)
	}
	return nil
}

func (cmd explainCommand) document(c *client) (blconfig.Document, error) {
	if cmd.File == "" {
		_, document, err := fetchDocument(c)
		return document, err
	}
	text, err := os.ReadFile(cmd.File)
	if err != nil {
		return blconfig.Document{}, fmt.Errorf("read document: %w", err)
	}
	document, err := blsettings.ParseDocument(text)
	var invalid blconfig.ValidationError
	if err != nil && !errors.As(err, &invalid) {
		return document, fmt.Errorf("%s: %w", cmd.File, err)
	}
	return document, nil
}

type showCommand struct{}

// Run shows the document in force at a node.
func (showCommand) Run(c *client) error {
	config, err := fetchConfig(c)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(config)
	}
	fmt.Printf("# revision %d\n%s", config.Revision, config.Document)
	return nil
}

type historyCommand struct{}

// Run shows the latest changes.
func (historyCommand) Run(c *client) error {
	var history []bloperator.PastChange
	if err := c.call(http.MethodGet, "/config/history", nil, &history); err != nil {
		return err
	}
	if c.json {
		return printJSON(history)
	}
	t := newTable()
	t.printf("at\treplaced revision\tsettings\n")
	for _, past := range history {
		t.printf("%s\t%d\t%s\n", past.At.Format(time.RFC3339), past.BaseRevision, strings.Join(past.Settings, ", "))
	}
	return t.flush()
}

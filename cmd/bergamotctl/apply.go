package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/io/bloperator"
	"bergamotlead/io/blsettings"
)

type applyCommand struct {
	File string        `arg:"" help:"Document in TOML." type:"existingfile"`
	Base uint64        `help:"Revision on which the document is based; without it the one in force."`
	Wait time.Duration `default:"10s" help:"How long to wait until it is in force."`
}

// Run stores a document.
func (cmd applyCommand) Run(c *client) error {
	text, err := os.ReadFile(cmd.File)
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	if _, err := blsettings.ParseDocument(text); err != nil {
		return fmt.Errorf("%s: %w", cmd.File, err)
	}
	base := cmd.Base
	if base == 0 {
		config, err := fetchConfig(c)
		if err != nil {
			return err
		}
		base = config.Revision
	}
	return apply(c, base, string(text), cmd.Wait)
}

// changeError reports a change with a result other than accepted.
type changeError struct {
	result bloperator.ChangeResult
}

// Error implements error.
func (e changeError) Error() string {
	switch e.result.Result {
	case bloperator.ResultConflict:
		return "conflict: " + e.result.Detail + "; show it, add your change and apply again"
	case bloperator.ResultUnknown:
		return "unknown: " + e.result.Detail + "; look with config show before you try again"
	}
	return e.result.Result + ": " + e.result.Detail
}

func (e changeError) exitCode() int {
	switch e.result.Result {
	case bloperator.ResultConflict:
		return exitConflict
	case bloperator.ResultUnknown:
		return exitUnknown
	}
	return exitFailed
}

// apply sends a change and prints its result. On a conflict it prints the
// differences between the document in force and the one that was sent.
func apply(c *client, base uint64, document string, wait time.Duration) error {
	var result bloperator.ChangeResult
	err := c.call(http.MethodPost, "/config", bloperator.Change{
		BaseRevision: base, Document: document, WaitMS: wait.Milliseconds(),
	}, &result)
	if result.Result == "" {
		return err
	}
	if c.json {
		if err := printJSON(result); err != nil {
			return err
		}
	}
	if result.Result != bloperator.ResultAccepted {
		showConflict(c, document, result)
		return changeError{result: result}
	}
	if !c.json {
		fmt.Printf("accepted as revision %d; %s\n", result.Revision, inForceText(result))
	}
	return nil
}

func inForceText(result bloperator.ChangeResult) string {
	if result.InForce {
		return "in force on every node"
	}
	return "not yet reported by every node"
}

func showConflict(c *client, document string, result bloperator.ChangeResult) {
	if result.Result != bloperator.ResultConflict || c.json {
		return
	}
	mine, mineErr := blsettings.ParseDocument([]byte(document))
	theirs, theirsErr := blsettings.ParseDocument([]byte(result.Document))
	if mineErr != nil || theirsErr != nil {
		return
	}
	fmt.Fprintf(os.Stderr, "revision %d differs from yours in:\n", result.Revision)
	for _, change := range blconfig.Difference(theirs, mine) {
		fmt.Fprintf(os.Stderr, "  %s: theirs %s, yours %s\n", change.Path, formatSetting(change.Before), formatSetting(change.After))
	}
}

func formatSetting(setting *blconfig.Setting) string {
	if setting == nil {
		return "none"
	}
	return setting.Value.String()
}

// fetchConfig returns the configuration in force at a node.
func fetchConfig(c *client) (bloperator.Config, error) {
	var config bloperator.Config
	err := c.call(http.MethodGet, "/config", nil, &config)
	return config, err
}

// fetchDocument returns the revision and document in force at a node.
func fetchDocument(c *client) (uint64, blconfig.Document, error) {
	config, err := fetchConfig(c)
	if err != nil {
		return 0, blconfig.Document{}, err
	}
	document, err := blsettings.ParseDocument([]byte(config.Document))
	if err != nil {
		return 0, document, fmt.Errorf("read document in force: %w", err)
	}
	return config.Revision, document, nil
}

// editDocument applies a change to the document in force and stores the result.
func editDocument(c *client, change func(blconfig.Document) (blconfig.Document, error)) error {
	revision, document, err := fetchDocument(c)
	if err != nil {
		return err
	}
	document, err = change(document)
	if err != nil {
		return err
	}
	if violations := blconfig.Check(document); len(violations) > 0 {
		return blconfig.ValidationError{Violations: violations}
	}
	text, err := blsettings.FormatDocument(document)
	if err != nil {
		return fmt.Errorf("write document: %w", err)
	}
	return apply(c, revision, string(text), defaultApplyWait)
}

const defaultApplyWait = 10 * time.Second

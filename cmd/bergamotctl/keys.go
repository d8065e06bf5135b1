package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"bergamotlead/core/blconfig"
)

const clientKeyBytes = 32

type keyCommands struct {
	Issue    issueCommand    `cmd:"" help:"Give a client account a new key and show it once."`
	Withdraw withdrawCommand `cmd:"" help:"Withdraw a key of a client account."`
}

type issueCommand struct {
	Account string `arg:"" help:"Client account."`
	Reason  string `required:"" help:"Why the account has these keys."`
}

// Run issues a key and prints it once the change is accepted.
func (cmd issueCommand) Run(c *client) error {
	var raw [clientKeyBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return fmt.Errorf("draw key: %w", err)
	}
	key := hex.EncodeToString(raw[:])
	err := editDocument(c, func(d blconfig.Document) (blconfig.Document, error) {
		return withDigests(d, cmd.Account, cmd.Reason, func(digests []string) []string {
			return append(digests, digest(key))
		})
	})
	if err != nil {
		return err
	}
	fmt.Printf("client key of %s, shown this once: %s\n", cmd.Account, key)
	return nil
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func withDigests(
	d blconfig.Document, account, reason string, change func([]string) []string,
) (blconfig.Document, error) {
	path := blconfig.Path{Section: blconfig.SectionAccounts, Entry: account, Option: "key_digests"}
	setting, err := settingOf(d, path, "client account")
	if err != nil {
		return d, err
	}
	setting.Value.List = change(slices.Clone(setting.Value.List))
	setting.Reason = reason
	return d.With(path, setting), nil
}

type withdrawCommand struct {
	Account string `arg:"" help:"Client account."`
	Key     string `help:"The key." xor:"which" required:""`
	Digest  string `help:"The key's digest." xor:"which" required:""`
	All     bool   `help:"Every key of the account." xor:"which" required:""`
	Reason  string `required:"" help:"Why the account has the remaining keys."`
}

// Run withdraws keys.
func (cmd withdrawCommand) Run(c *client) error {
	target := cmd.Digest
	if cmd.Key != "" {
		target = digest(cmd.Key)
	}
	return editDocument(c, func(d blconfig.Document) (blconfig.Document, error) {
		found := cmd.All
		next, err := withDigests(d, cmd.Account, cmd.Reason, func(digests []string) []string {
			return slices.DeleteFunc(digests, func(have string) bool {
				found = found || have == target
				return cmd.All || have == target
			})
		})
		if err == nil && !found {
			return next, notFoundError{kind: "such key of account", name: cmd.Account}
		}
		return next, err
	})
}

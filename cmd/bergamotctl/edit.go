package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/url"
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

// notFoundError reports a name that the document does not contain.
type notFoundError struct {
	kind string
	name string
}

// Error implements error.
func (e notFoundError) Error() string {
	return fmt.Sprintf("there is no %s %s in the configuration", e.kind, e.name)
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
	setting, ok := d.Get(path)
	if !ok {
		return d, notFoundError{kind: "client account", name: account}
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

type domainCommands struct {
	Out  domainOutCommand  `cmd:"" help:"Take a failure domain out of service."`
	Back domainBackCommand `cmd:"" help:"Put a failure domain back into service."`
}

type domainOutCommand struct {
	Domain string `arg:"" help:"Failure domain."`
	Reason string `required:"" help:"Why it is out of service."`
}

// Run takes a failure domain out of service.
func (cmd domainOutCommand) Run(c *client) error {
	return setDomainState(c, cmd.Domain, blconfig.DomainOut, cmd.Reason)
}

type domainBackCommand struct {
	Domain string `arg:"" help:"Failure domain."`
	Reason string `required:"" help:"Why it is back in service."`
}

// Run puts a failure domain back into service.
func (cmd domainBackCommand) Run(c *client) error {
	return setDomainState(c, cmd.Domain, blconfig.DomainIn, cmd.Reason)
}

func setDomainState(c *client, domain string, state blconfig.DomainState, reason string) error {
	return editDocument(c, func(d blconfig.Document) (blconfig.Document, error) {
		path := blconfig.Path{Section: blconfig.SectionDomains, Entry: domain, Option: "state"}
		if _, ok := d.Get(path); !ok {
			return d, notFoundError{kind: "failure domain", name: domain}
		}
		return d.With(path, textSetting(string(state), reason)), nil
	})
}

func textSetting(value, reason string) blconfig.Setting {
	return blconfig.Setting{Value: blconfig.Value{Kind: blconfig.KindText, Text: value}, Reason: reason}
}

type upstreamCommands struct {
	Drain   drainCommand   `cmd:"" help:"Drain an upstream, so that it gets no new work."`
	Undrain undrainCommand `cmd:"" help:"End the drain of an upstream."`
}

type drainCommand struct {
	Upstream string `arg:"" help:"Upstream."`
	Reason   string `required:"" help:"Why it is drained."`
}

// Run drains an upstream.
func (cmd drainCommand) Run(c *client) error {
	return editDocument(c, func(d blconfig.Document) (blconfig.Document, error) {
		path := blconfig.Path{Section: blconfig.SectionUpstreams, Entry: cmd.Upstream, Option: "state"}
		return d.With(path, textSetting(blconfig.UpstreamDrain, cmd.Reason)), nil
	})
}

type undrainCommand struct {
	Upstream string `arg:"" help:"Upstream."`
}

// Run ends the drain of an upstream.
func (cmd undrainCommand) Run(c *client) error {
	return editDocument(c, func(d blconfig.Document) (blconfig.Document, error) {
		path := blconfig.Path{Section: blconfig.SectionUpstreams, Entry: cmd.Upstream, Option: "state"}
		if _, ok := d.Get(path); !ok {
			return d, notFoundError{kind: "drained upstream", name: cmd.Upstream}
		}
		return d.Without(path), nil
	})
}

type hostCommands struct {
	Lost lostCommand `cmd:"" help:"Declare that the process on a host that is lead or standby has stopped for good."`
}

type lostCommand struct {
	Host string `arg:"" help:"Host."`
	Sure bool   `required:"" help:"Confirm that the process on the host is not running and will not run again."`
}

// Run marks a host as lost.
func (cmd lostCommand) Run(c *client) error {
	if err := c.call(http.MethodPost, "/hosts/"+url.PathEscape(cmd.Host)+"/lost", nil, nil); err != nil {
		return err
	}
	fmt.Printf("%s is marked lost\n", cmd.Host)
	return nil
}

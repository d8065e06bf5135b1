package main

import (
	"fmt"
	"net/http"
	"net/url"

	"bergamotlead/core/blconfig"
)

// notFoundError reports a name that the document does not contain.
type notFoundError struct {
	kind string
	name string
}

// Error implements error.
func (e notFoundError) Error() string {
	return fmt.Sprintf("there is no %s %s in the configuration", e.kind, e.name)
}

// settingOf returns the setting at path, or a notFoundError that names the path's entry
// as one of a kind.
func settingOf(d blconfig.Document, path blconfig.Path, kind string) (blconfig.Setting, error) {
	setting, ok := d.Get(path)
	if !ok {
		return setting, notFoundError{kind: kind, name: path.Entry}
	}
	return setting, nil
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
		if _, err := settingOf(d, path, "failure domain"); err != nil {
			return d, err
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
		if _, err := settingOf(d, path, "drained upstream"); err != nil {
			return d, err
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

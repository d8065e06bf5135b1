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

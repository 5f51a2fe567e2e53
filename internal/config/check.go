package config

import (
	"net/netip"

	"olivearch/internal/strictyaml"
)

// checker checks a configuration, records its errors and fills in default values.
type checker struct {
	*strictyaml.Doc
	*Loaded

	// diagnose reads the changed entries again to find the errors in them; it is set while a section is reloaded.
	diagnose func(into any) *strictyaml.Doc
	// diagnosis is the error that diagnose found: the one that parsing the whole text would give.
	diagnosis error
}

// checkAll checks the whole configuration and builds the route table. folder is where relative paths start.
func (k *checker) checkAll(folder string) {
	k.listeners()
	k.limits()
	k.classes()
	k.tenants()
	k.rules()
	k.pools(folder)
	k.routes()
	if k.Promises != nil {
		k.Promises.check(k.Doc, "promises", folder)
	}
	if k.Failed() {
		return
	}
	k.combinedLimits()
	k.Routes = nil
	k.countClasses()
}

// address checks that a text is an IP address and a port.
func (k *checker) address(path, text string) (address netip.AddrPort, ok bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		k.Fail(path, "%q is not an IP address and a port, such as 127.0.0.1:8080", text)
	}
	return address, err == nil
}

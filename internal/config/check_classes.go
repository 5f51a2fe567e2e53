package config

import (
	"time"

	"olivearch/internal/strictyaml"
)

const (
	minAim   = Duration(10 * time.Millisecond)
	maxWorth = 1e6
	maxQuota = 1e9 // requests a second, exclusive
	// invalidQuota is the text of an error about a quota.
	invalidQuota = "the quota must be a rate of requests a second, from 0 to less than 1,000,000,000"
)

// classes checks the classes of requests.
func (k *checker) classes() {
	if len(k.Classes) == 0 {
		k.Fail("classes", "at least one class is wanted")
	}
	for name, class := range k.Classes {
		path := "classes." + name
		strictyaml.SetDefault(&class.Repeat, "unsafe")
		if class.Worth == nil {
			class.Worth = new(1.0)
		}
		k.repeat(path, &class)
		if class.Aim < minAim || class.Deadline < class.Aim {
			k.Fail(path, "aim must be at least 10ms, and deadline no shorter than aim")
		}
		if !isWithin(*class.Worth, 0, maxWorth) || !isWithin(class.LateWorth, 0, 1) {
			k.Fail(path, "worth must be from 0 to 1,000,000, and late_worth from 0 to 1")
		}
		k.Classes[name] = class
	}
}

// repeat checks the idempotency of a class, and for keyed classes the settings of the idempotency key.
func (k *checker) repeat(path string, class *Class) {
	_, known := idempotencies[class.Repeat]
	switch {
	case !known:
		k.Fail(path+".repeat", "%q is none of safe, keyed and unsafe", class.Repeat)
	case class.Repeat == "keyed":
		strictyaml.SetDefault(&class.Group, "all")
		if _, ok := keyScopes[class.Group]; !ok {
			k.Fail(path+".group", "%q is none of all, zone and cell", class.Group)
		}
		if class.Memory == 0 {
			k.Fail(path, "a keyed class needs memory: how long endpoints remember a key")
		}
	case class.Group != "" || class.Memory != 0:
		k.Fail(path, "only keyed classes have group and memory")
	}
}

// tenants checks the quotas of the tenants in the File, and the weight factor of requests over quota.
func (k *checker) tenants() {
	for name, tenant := range k.Loaded.File.Tenants {
		if !isValidQuota(tenant.Quota) {
			k.Fail("tenants."+name+".quota", invalidQuota)
		}
	}
	if k.OverQuotaWorth == nil {
		k.OverQuotaWorth = new(0.1)
	}
	if !isWithin(*k.OverQuotaWorth, 0, 1) {
		k.Fail("over_quota_worth", "over_quota_worth must be from 0 to 1")
	}
}

// isValidQuota reports whether a number is a valid quota; NaN is not.
func isValidQuota(quota float64) bool { return quota >= 0 && quota < maxQuota }

// isWithin reports whether low <= number <= high; NaN is never within.
func isWithin(number, low, high float64) bool { return number >= low && number <= high }

// rules checks the drain and slow-start rules.
func (k *checker) rules() {
	rules := &k.Rules
	strictyaml.SetDefault(&rules.DrainGrace, Duration(time.Second))
	strictyaml.SetDefault(&rules.ColdFrom, 0.33)
	strictyaml.SetDefault(&rules.RampTime, Duration(9*time.Second))
	strictyaml.SetDefault(&rules.TipMultiple, 3)
	strictyaml.SetDefault(&rules.TipAfter, Duration(1500*time.Millisecond))
	if rules.ColdFrom == 0 || !isWithin(rules.ColdFrom, 0, 1) {
		k.Fail("rules.cold_from", "cold_from must be over 0 and at most 1")
	}
	if !isWithin(rules.TipMultiple, 1, 1000) {
		k.Fail("rules.tip_multiple", "tip_multiple must be from 1 to 1,000")
	}
}

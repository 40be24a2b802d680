// Package settings reads and checks the settings file of a daemon.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/quota"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/schedule"
)

// Env names the variable that holds the path of the settings file.
const Env = "SPOOLSWITCH_BOOT"

// Bindings are the addresses for what a role serves.
type Bindings struct {
	Front     string `toml:"front-addr" validate:"omitempty,hostport4"`
	Readiness string `toml:"readiness" validate:"omitempty,hostport4"`
	Control   string `toml:"control-addr" validate:"omitempty,hostport4"`
}

// Limits bound what a process may use.
type Limits struct {
	MemoryMB    int64 `toml:"memory-mb" validate:"gte=16"`
	Descriptors int   `toml:"file-descriptors" validate:"gte=64"`
	Cores       int   `toml:"cores" validate:"gte=0,lte=1024"`
}

// Bounds are the figures of the rules that daemons go by.
type Bounds struct {
	DrainMs          float64 `toml:"drain-ms" validate:"gte=0"`
	GraceS           float64 `toml:"grace-s" validate:"gte=0"`
	ConfigApplyMs    float64 `toml:"config-apply-ms" validate:"gte=0"`
	RetryBudgetRatio float64 `toml:"retry-budget-ratio" validate:"gte=0"`
	RetryWindowS     float64 `toml:"retry-window-s" validate:"gte=0"`
	RetrySlack       float64 `toml:"retry-slack" validate:"gte=0"`
	ColdOverrun      float64 `toml:"cold-overrun" validate:"gte=0"`
	ColdSlack        float64 `toml:"cold-slack" validate:"gte=0"`
	AckMs            float64 `toml:"ack-ms" validate:"gte=0"`
	ExposureShare    float64 `toml:"exposure-share" validate:"gte=0,lte=1"`
	ExposureSlack    float64 `toml:"exposure-slack" validate:"gte=0"`
	QuotaWindowS     float64 `toml:"quota-window-s" validate:"gte=0"`
	QuotaOverrun     float64 `toml:"quota-overrun" validate:"gte=0"`
	QuotaSlack       float64 `toml:"quota-slack" validate:"gte=0"`
}

// Tolerance is what may be lost at the same time while every rule holds.
type Tolerance struct {
	Machines int `toml:"machine-losses" validate:"gte=0,lte=100"`
	Zones    int `toml:"zones" validate:"gte=0,lte=100"`
}

// Platform is where the list of replicas is kept.
type Platform struct {
	Address string  `toml:"address" validate:"required,hostport4"`
	PerS    float64 `toml:"rate-per-s" validate:"gt=0"`
}

// Settings are all that a daemon is told.
type Settings struct {
	Node      ids.Node          `toml:"node-name" validate:"required"`
	IP        string            `toml:"ip" validate:"required,ipv4"`
	Zone      ids.Zone          `toml:"zone" validate:"required"`
	Ports     []int             `toml:"internal-ports" validate:"len=2,dive,gte=1,lte=65535"`
	Seeds     []ids.Addr        `toml:"seed-nodes" validate:"min=1,dive,hostport4"`
	Initial   bool              `toml:"initial-start"`
	DataDir   string            `toml:"data-dir"`
	Zones     map[string]string `toml:"zones"`
	Bindings  Bindings          `toml:"bindings"`
	Limits    Limits            `toml:"limits"`
	Bounds    Bounds            `toml:"timing-bounds"`
	Tolerance Tolerance         `toml:"fault-tolerance"`
	Platform  Platform          `toml:"platform-api"`
	Calendar  Calendar          `toml:"calendar"`
	Index     Index             `toml:"kv-index"`
	Pool      Pool              `toml:"pool"`
	Session   Session           `toml:"session"`
	Rollout   Rollout           `toml:"rollout"`
}

// Calendar says when keepers rewrite their log, cron-like; empty is never.
type Calendar struct {
	Rewrite string `toml:"rewrite"`
}

// Index holds the defaults of the cache index: for how many batches a second,
// how long an outage and how long a way back replays are kept, with a factor
// for safety; how long a speculative entry lives before its latency has been
// measured; and how many answers after a hole make a view again.
type Index struct {
	PerS          float64 `toml:"batches-per-s" validate:"gt=0,lte=100000"`
	OutageS       float64 `toml:"outage-s" validate:"gte=0,lte=3600"`
	CatchUpS      float64 `toml:"catch-up-s" validate:"gte=0,lte=3600"`
	Safety        float64 `toml:"safety-factor" validate:"gte=1,lte=100"`
	SpeculativeMs float64 `toml:"speculative-ms" validate:"gt=0,lte=60000"`
	Proofs        int     `toml:"proofs" validate:"gte=1,lte=1000"`
}

// Steps is how many batches of one stream are kept for replays.
func (x *Index) Steps() int {
	return max(1, int(x.PerS*(x.OutageS+x.CatchUpS)*x.Safety+0.5))
}

// ReplayMost is how many batches of all streams together are kept for replays:
// a sixty-fourth of the memory, at half a kilobyte each.
func (s *Settings) ReplayMost() int { return int(s.Limits.MemoryMB << 20 / 64 / 512) }

// Pool says whether replicas are divided into pools, and how they are moved:
// by counts of a window of at least so many requests, when the split is off by
// a part of the replicas (hysteresis), with a least part for each pool (floor)
// and a most part that changes sides at once (moves).
type Pool struct {
	Enabled    bool    `toml:"enabled"`
	WindowS    float64 `toml:"window-s" validate:"gte=1,lte=600"`
	Hysteresis float64 `toml:"hysteresis" validate:"gt=0,lt=1"`
	Floor      float64 `toml:"floor" validate:"gt=0,lte=0.5"`
	Moves      float64 `toml:"moves" validate:"gt=0,lte=1"`
	Least      int64   `toml:"least-requests" validate:"gte=1"`
}

// Rollout holds the steps that an order to bring a new version in goes through.
type Rollout struct {
	Steps []rollout.Step `toml:"steps"`
}

// Session holds the defaults of the session design.
type Session struct {
	IdleS float64 `toml:"idle-timeout-s" validate:"gte=0"`
}

var check = func() *validator.Validate {
	v := validator.New()
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	_ = v.RegisterValidation("hostport4", func(f validator.FieldLevel) bool {
		a, err := netip.ParseAddrPort(f.Field().String())
		return err == nil && a.Port() != 0
	})
	return v
}()

// Parse reads and checks settings; every fault is in the errors.
func Parse(b []byte) (*Settings, []error) {
	s := &Settings{Index: Index{PerS: 50, OutageS: 12, CatchUpS: 3, Safety: 2, SpeculativeMs: 2000, Proofs: 3},
		Pool: Pool{WindowS: 30, Hysteresis: 0.08, Floor: 0.1, Moves: 0.15, Least: 50}}
	if err := toml.Unmarshal(b, s); err != nil {
		return nil, []error{codes.New(codes.BadSettings, "%v", err)}
	}
	var out []error
	if err := check.Struct(s); err != nil {
		var ve validator.ValidationErrors
		if !errors.As(err, &ve) {
			return nil, []error{codes.New(codes.BadSettings, "%v", err)}
		}
		for _, f := range ve {
			out = append(out, codes.New(codes.BadSettings, "%s does not hold %s", strings.TrimPrefix(f.Namespace(), "Settings."), f.ActualTag()))
		}
	}
	if len(s.Ports) == 2 && s.Ports[1] < s.Ports[0]+2 {
		out = append(out, codes.New(codes.BadSettings, "internal-ports hold fewer than three"))
	}
	if s.Calendar.Rewrite != "" {
		if _, err := schedule.Parse(s.Calendar.Rewrite); err != nil {
			out = append(out, codes.New(codes.BadSettings, "calendar.rewrite: %v", err))
		}
	}
	if len(s.Rollout.Steps) == 0 {
		s.Rollout.Steps = rollout.DefaultSteps()
	}
	if err := rollout.CheckSteps(s.Rollout.Steps); err != nil {
		out = append(out, codes.New(codes.BadSettings, "rollout.steps: %v", err))
	}
	if n := s.Index.Steps(); n > s.ReplayMost() {
		out = append(out, codes.New(codes.BadSettings, "kv-index asks for %d batches to be kept for replays, limits.memory-mb has room for %d", n, s.ReplayMost()))
	}
	if s.Bounds.DrainMs == 0 {
		s.Bounds.DrainMs = 3000
	}
	if s.Bounds.ConfigApplyMs == 0 {
		s.Bounds.ConfigApplyMs = 2000
	}
	if s.Bounds.AckMs == 0 {
		s.Bounds.AckMs = 5000
	}
	if s.Bounds.ExposureShare == 0 {
		s.Bounds.ExposureShare, s.Bounds.ExposureSlack = 0.1, 50
	}
	if s.Bounds.QuotaWindowS == 0 {
		s.Bounds.QuotaWindowS = 5
	}
	if s.Session.IdleS == 0 {
		s.Session.IdleS = 300
	}
	return s, out
}

// Load reads the file that Env names.
func Load() (*Settings, []error) {
	p := os.Getenv(Env)
	if p == "" {
		return nil, []error{codes.New(codes.NoSettings, "%s is not set", Env)}
	}
	return LoadFile(p)
}

// LoadFile reads a settings file.
func LoadFile(p string) (*Settings, []error) {
	b, err := os.ReadFile(p)
	if err != nil {
		return nil, []error{codes.New(codes.NoSettings, "%v", err)}
	}
	return Parse(b)
}

// Inner is the internal address of the n-th internal port of a machine.
func (s *Settings) Inner(ip string, n int) ids.Addr {
	return ids.Addr(fmt.Sprintf("%s:%d", ip, s.Ports[0]+n))
}

// Keeper is the internal address of the keeper behind a control address.
func (s *Settings) Keeper(control ids.Addr) ids.Addr {
	ap, err := netip.ParseAddrPort(string(control))
	if err != nil {
		return ""
	}
	return s.Inner(ap.Addr().String(), 0)
}

// Quota are the bounds of the rule on quotas.
func (b *Bounds) Quota() quota.Bounds {
	return quota.Bounds{Window: clock.Ms(b.QuotaWindowS * 1000), Overrun: b.QuotaOverrun, Slack: b.QuotaSlack}
}

// Grace is the time a process has from SIGTERM on.
func (s *Settings) Grace() clock.Span { return clock.Ms(s.Bounds.GraceS * 1000) }

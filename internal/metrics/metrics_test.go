package metrics

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/telemetry"
)

// The text can be read back by a Prometheus parser, and families bear labels.
func TestText(t *testing.T) {
	is := is.New(t)
	telemetry.CountEarlyEnd(telemetry.BrokenOff, codes.GraceOver)
	telemetry.Counter("own.503").Add(2)
	telemetry.Counter("wire.out.digest.far").Add(7)
	telemetry.Counter("client.odd-name").Add(1)
	text, err := Text("relayd", []Gauge{
		{Name: "active", Help: "Requests.", Figure: 3},
		{Name: "budget_left", Help: "Repeats.", Label: "service", Value: "a", Figure: 1.5},
		{Name: "budget_left", Help: "Repeats.", Label: "service", Value: "b", Figure: 2},
	})
	is.NoErr(err)
	parser := expfmt.NewTextParser(model.LegacyValidation)
	groups, err := parser.TextToMetricFamilies(strings.NewReader(string(text)))
	is.NoErr(err)
	is.Equal(len(groups["spoolswitch_budget_left"].GetMetric()), 2)
	for _, line := range []string{
		`spoolswitch_early_ends_total{cause="214",how="broken-off",role="relayd"} 1`,
		`spoolswitch_own_answers_total{role="relayd",status="503"} 2`,
		`spoolswitch_messages_out_bytes_total{kind="digest.far",role="relayd"} 7`,
		`spoolswitch_client_odd_name_total{role="relayd"} 1`,
		`spoolswitch_active{role="relayd"} 3`,
		`spoolswitch_budget_left{role="relayd",service="a"} 1.5`,
	} {
		is.True(strings.Contains(string(text), line+"\n")) // a line of the text
	}
}

func TestParseEndpoint(t *testing.T) {
	is := is.New(t)
	at, err := ParseEndpoint("9464/metrics/all")
	is.NoErr(err)
	is.Equal(at, Endpoint{Port: 9464, Path: "/metrics/all"})
	for _, bad := range []string{"", "9464", "/metrics", "x/metrics", "0/metrics", "70000/metrics", "9464/"} {
		_, err := ParseEndpoint(bad)
		is.Equal(codes.Of(err), codes.BadSettings)
	}
}

func TestServe(t *testing.T) {
	is := is.New(t)
	const port = 29464
	listener, err := Serve("127.0.0.1", Endpoint{Port: port, Path: "/metrics"}, "keepd", func() []Gauge {
		return []Gauge{{Name: "voting", Help: "Votes.", Figure: Flag(true)}}
	})
	is.NoErr(err)
	defer listener.Close()
	_, err = Serve("127.0.0.1", Endpoint{Port: port, Path: "/metrics"}, "keepd", nil)
	is.Equal(codes.Of(err), codes.BadSettings) // the port is taken
	status, body, err := fasthttp.GetTimeout(nil, "http://127.0.0.1:29464/metrics", 10*clock.Second)
	is.NoErr(err)
	is.Equal(status, 200)
	is.True(strings.Contains(string(body), `spoolswitch_voting{role="keepd"} 1`))
	status, _, err = fasthttp.GetTimeout(nil, "http://127.0.0.1:29464/else", 10*clock.Second)
	is.NoErr(err)
	is.Equal(status, 404)
}

package platformtest

import (
	"io"
	"log"
	"net/http/httptest"
	"testing"

	"chutereach/platformhttp"
	"chutereach/provider"
	"chutereach/standin"
)

func embedded(t *testing.T) (provider.Platform, *standin.Platform) {
	s := standin.New([]provider.Worker{Worker})
	t.Cleanup(s.Fleet.Close)
	return s.Interfaces(), s
}

func TestEmbeddedKeepsTheContract(t *testing.T) { Run(t, embedded) }

func TestHTTPKeepsTheContract(t *testing.T) {
	Run(t, func(t *testing.T) (provider.Platform, *standin.Platform) {
		p, s := embedded(t)
		server := httptest.NewUnstartedServer(platformhttp.Handler(p))
		server.Config.ErrorLog = log.New(io.Discard, "", 0) // cut connections are meant
		server.Start()
		t.Cleanup(server.Close)
		return platformhttp.Dial(server.URL, ""), s
	})
}

// A platform that nobody listens at has surely not carried a request out.
func TestUnreachablePlatformIsUnavailable(t *testing.T) {
	server := httptest.NewServer(nil)
	url := server.URL
	server.Close()
	_, err := platformhttp.Dial(url, "").Table.Commit(t.Context(), put("1", "a", 0, "x"))
	want[*provider.UnavailableError](t, err)
}

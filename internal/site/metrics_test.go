package site_test

import (
	"encoding/json"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/site"
)

var documentedNamePattern = regexp.MustCompile("`([a-z_]+)(\\*?)`")

func TestMetricsAreDocumented(t *testing.T) {
	s := startSite(t, site.Config{Zones: []string{"shubra"}, DaemonsPerZone: 1})
	d := s.Daemons[0]
	requireComplete(t, post(t.Context(), t, chatURL(d), chatBody("counted", 3, true), callOptions{}), "counted", 3)
	post(t.Context(), t, chatURL(d), chatBody("x", 1<<20, false), callOptions{})
	request, err := http.NewRequest(http.MethodGet, "http://"+d.Operator.String()+"/metrics", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+site.OperatorToken)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var served map[string]json.RawMessage
	require.NoError(t, json.NewDecoder(response.Body).Decode(&served))

	page, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	exact, prefixes := map[string]bool{}, []string{}
	for _, match := range documentedNamePattern.FindAllStringSubmatch(string(page), -1) {
		if match[2] == "*" {
			prefixes = append(prefixes, match[1])
			continue
		}
		exact[match[1]] = true
	}
	for name := range served {
		documented := exact[name]
		for _, prefix := range prefixes {
			documented = documented || strings.HasPrefix(name, prefix)
		}
		require.True(t, documented, "docs/METRICS.md does not list %s", name)
	}
	for name := range exact {
		require.Contains(t, served, name, "docs/METRICS.md lists %s, which does not exist", name)
	}
	for _, prefix := range prefixes {
		found := false
		for name := range served {
			found = found || strings.HasPrefix(name, prefix)
		}
		require.True(t, found, "docs/METRICS.md lists %s*, which does not exist", prefix)
	}
}

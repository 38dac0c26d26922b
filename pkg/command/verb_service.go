package command

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

func newServiceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "show services",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list all services", Action: listServices},
		},
	}
}

// sortRows sorts rows by the text of their cells.
func sortRows(rows [][]any) {
	slices.SortFunc(rows, func(a, b []any) int { return strings.Compare(fmt.Sprint(a...), fmt.Sprint(b...)) })
}

func listServices(ctx context.Context, c *cli.Command) error {
	view, err := fetchStateView(ctx, c)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, service := range view.Services {
		rows = append(rows, []any{service.Name, service.Kind, strings.Join(service.Models, ","), len(service.Ranks)})
	}
	sortRows(rows)
	return writeOutput(c, view.Services, []any{"SERVICE", "KIND", "MODELS", "RANKS"}, rows)
}

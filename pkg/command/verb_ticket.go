package command

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/turmerictide/turmerictide/pkg/store"
	"github.com/turmerictide/turmerictide/pkg/ticket"
)

func newTicketCommand() *cli.Command {
	return &cli.Command{
		Name: "ticket", Usage: "change the operators' state by numbered tickets",
		Commands: []*cli.Command{
			{Name: "check", Usage: "print all faults of a ticket", ArgsUsage: "FILE", Action: checkTicket},
			{Name: "apply", Usage: "apply all changes of a ticket, or none", ArgsUsage: "FILE", Action: applyTicket},
			{Name: "diff", Usage: "print what a ticket would change", ArgsUsage: "FILE", Action: diffTicket},
			{Name: "show", Usage: "print the current head in the store", Action: showTicket},
			{Name: "list", Usage: "print the current ticket of each daemon", Action: listTickets},
			{Name: "status", Usage: "print which daemons have applied a ticket", ArgsUsage: "NUMBER", Action: ticketStatus},
		},
	}
}

func readTicket(c *cli.Command) (ticket.Ticket, error) {
	path := c.Args().First()
	if path == "" {
		return ticket.Ticket{}, errors.New("the ticket's FILE is needed")
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return ticket.Ticket{}, errors.Newf("read ticket: %w", err)
	}
	return ticket.Parse(content)
}

func checkTicket(_ context.Context, c *cli.Command) error {
	t, err := readTicket(c)
	if err != nil {
		return err
	}
	if err := t.Check(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "ticket %d is correct\n", t.Number)
	return err
}

// readTicketAndStore returns the ticket from the FILE argument and a client of the store.
func readTicketAndStore(c *cli.Command) (ticket.Ticket, *store.Store, error) {
	t, err := readTicket(c)
	if err != nil {
		return ticket.Ticket{}, nil, err
	}
	s, err := openStore(c)
	return t, s, err
}

func applyTicket(ctx context.Context, c *cli.Command) error {
	t, s, err := readTicketAndStore(c)
	if err != nil {
		return err
	}
	return applyAndReport(ctx, c, s, t)
}

// applyAndReport applies a ticket and reports its verdict.
func applyAndReport(ctx context.Context, c *cli.Command, s *store.Store, t ticket.Ticket) error {
	ctx, cancel := context.WithTimeout(ctx, c.Root().Duration("timeout"))
	defer cancel()
	result, err := ticket.Apply(ctx, s, t, uuid.NewString())
	if result.Verdict == ticket.VerdictUnsettled {
		return &exitError{code: ExitUnsettled, text: fmt.Sprintf("ticket %d is unsettled: read `ticket show` before applying it again", t.Number)}
	}
	if err != nil {
		return err
	}
	if result.Verdict == ticket.VerdictRefused {
		return &exitError{code: ExitRefused, text: fmt.Sprintf("ticket %d is refused: %s", t.Number, result.Reason)}
	}
	_, err = fmt.Fprintf(c.Root().Writer, "ticket %d is accepted\n", t.Number)
	return err
}

func diffTicket(ctx context.Context, c *cli.Command) error {
	t, s, err := readTicketAndStore(c)
	if err != nil {
		return err
	}
	state, err := ticket.ReadState(ctx, s)
	if err != nil {
		return err
	}
	changes, err := t.Changes(state)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, change := range changes {
		rows = append(rows, []any{change.Object, change.Kind})
	}
	return writeOutput(c, changes, []any{"OBJECT", "CHANGE"}, rows)
}

func showTicket(ctx context.Context, c *cli.Command) error {
	s, err := openStore(c)
	if err != nil {
		return err
	}
	head, _, err := ticket.ReadHead(ctx, s)
	if err != nil {
		return err
	}
	var rows [][]any
	for name, version := range head.Objects {
		rows = append(rows, []any{head.Number, name, version})
	}
	sortRows(rows)
	return writeOutput(c, head, []any{"TICKET", "OBJECT", "VERSION"}, rows)
}

func listTickets(ctx context.Context, c *cli.Command) error {
	all, err := fetchStatuses(ctx, c)
	if err != nil {
		return err
	}
	rows := make([][]any, len(all))
	for i, status := range all {
		rows[i] = []any{status.Host, status.AvailabilityZone, status.Ticket, status.TicketSince.UTC().Format(time.DateTime), status.Ready}
	}
	return writeOutput(c, all, []any{"HOST", "ZONE", "TICKET", "SINCE", "READY"}, rows)
}

func ticketStatus(ctx context.Context, c *cli.Command) error {
	number, err := strconv.ParseUint(c.Args().First(), 10, 64)
	if err != nil {
		return errors.New("the ticket's NUMBER is needed")
	}
	all, err := fetchStatuses(ctx, c)
	if err != nil {
		return err
	}
	var rows [][]any
	missing := 0
	for _, status := range all {
		isCurrent := status.Ticket >= ticket.Number(number)
		if !isCurrent {
			missing++
		}
		rows = append(rows, []any{status.Host, status.AvailabilityZone, status.Ticket, isCurrent})
	}
	if err := writeOutput(c, all, []any{"HOST", "ZONE", "TICKET", "IN FORCE"}, rows); err != nil {
		return err
	}
	if missing > 0 {
		return &exitError{code: ExitFailed, text: fmt.Sprintf("ticket %d is not in force on %d of %d daemons", number, missing, len(all))}
	}
	return nil
}

package command

import (
	"bytes"
	"crypto/rand"
	"encoding/base32"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/transport/operator"
)

// keyBytes is the number of random bytes of a caller's key.
const keyBytes = 32

// getDocument returns the operators' document in force and its version.
func (cl *controlClient) getDocument() (version int64, text []byte, err error) {
	header, text, err := cl.callOK(http.MethodGet, "/v1/document")
	if err != nil {
		return 0, nil, err
	}
	version, err = strconv.ParseInt(header.Get("Document-Version"), 10, 64)
	return version, text, err
}

func newApply() *cobra.Command {
	var client controlClient
	var base int64
	c := &cobra.Command{
		Use:   "apply FILE.ini [--base VERSION]",
		Short: "Put the changes of one team in force",
		Long: "Put the changes of one team in force.\n\n" +
			"The changes are those between the base version and the file. Sections of other teams must be as in\n" +
			"the base version; they stay as they are in force.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			return client.apply(c, base, args[0], text)
		},
	}
	c.Flags().Int64Var(&base, "base", operator.InForce,
		"version that the file was edited from, as printed by get; 0 for the first (default: the version in force)")
	c.Flags().Lookup("base").DefValue = ""
	return client.addFlags(c)
}

// apply submits a document as an edit of version base and prints the result.
func (cl *controlClient) apply(c *cobra.Command, base int64, file string, text []byte) error {
	query := url.Values{"file": {file}}
	if base != operator.InForce {
		query.Set("base", strconv.FormatInt(base, 10))
	}
	status, _, content, err := cl.call(http.MethodPost, "/v1/apply?"+query.Encode(), text)
	var invalid *codedError
	var path *os.PathError
	var op *net.OpError
	switch {
	case errors.As(err, &invalid) || errors.As(err, &path):
		return err
	case errors.As(err, &op) && op.Op == "dial":
		return fmt.Errorf("the instance cannot be reached; nothing changed: %w", err)
	case err != nil:
		return errorWithCode(exitUnknown, "no answer, so it is not known whether the document was accepted; "+
			"apply it again, which is harmless: %w", err)
	}
	var result operator.ApplyResult
	if json.Unmarshal(content, &result) != nil {
		code := exitFailed
		if status == http.StatusUnauthorized || status == http.StatusBadRequest {
			code = exitInvalid
		}
		return errorWithCode(code, "the instance refused: %s; nothing changed", bytes.TrimSpace(content))
	}
	return reportApply(c, result)
}

// reportApply prints the result of an apply and returns an error unless the
// document was accepted or is already in force.
func reportApply(c *cobra.Command, r operator.ApplyResult) error {
	out := c.OutOrStdout()
	for _, p := range r.Problems {
		_, _ = fmt.Fprintln(out, p.String())
	}
	for _, conflict := range r.Conflicts {
		printConflict(out, conflict)
	}
	switch {
	case len(r.Problems) > 0:
		return errorWithCode(exitInvalid, "%d problems; nothing changed", len(r.Problems))
	case len(r.Conflicts) > 0:
		return errorWithCode(exitConflict, "%d sections were changed by another operator too; nothing changed", len(r.Conflicts))
	case r.Unknown:
		return errorWithCode(exitUnknown, "%s", r.Message)
	case r.Version == 0:
		return errorWithCode(exitFailed, "%s; nothing changed", r.Message)
	case len(r.Changed) == 0:
		_, _ = fmt.Fprintf(c.ErrOrStderr(), "nothing to change; version %d is in force\n", r.Version)
	default:
		_, _ = fmt.Fprintf(c.ErrOrStderr(), "accepted as version %d; changed: %s\n", r.Version, strings.Join(r.Changed, ", "))
	}
	return nil
}

// printConflict prints the three texts of a conflicting section.
func printConflict(out io.Writer, conflict document.Conflict) {
	_, _ = fmt.Fprintf(out, "conflict in [%s]\n", conflict.Section)
	for _, side := range []struct{ name, text string }{{"base", conflict.Base}, {"in force", conflict.InForce}, {"edited", conflict.Edited}} {
		text := side.text
		if text == "" {
			text = "(no such section)"
		}
		_, _ = fmt.Fprintf(out, "--- %s\n%s\n", side.name, strings.TrimRight(text, "\r\n"))
	}
}

func newGet() *cobra.Command {
	var client controlClient
	var team string
	c := client.addFlags(&cobra.Command{
		Use:   "get [--team TEAM]",
		Short: "Print the document in force; its version goes to standard error",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			version, text, err := client.getDocument()
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "version %d\n", version)
			if team != "" {
				text = teamSections(text, team)
			}
			_, err = c.OutOrStdout().Write(text)
			return err
		},
	})
	c.Flags().StringVar(&team, "team", "", "print only the sections of this team; such a part cannot be applied")
	return c
}

// teamSections returns the sections of the document that belong to a team.
func teamSections(text []byte, team string) []byte {
	var part strings.Builder
	_, sections := document.Split(text)
	for _, s := range sections {
		if s.Team() == team {
			part.WriteString(s.Text)
		}
	}
	return []byte(part.String())
}

func newDiff() *cobra.Command {
	var client controlClient
	return client.addFlags(&cobra.Command{
		Use:   "diff FILE.ini",
		Short: "Show by section how a file differs from the document in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			edited, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			version, text, err := client.getDocument()
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "version %d\n", version)
			printDiff(c.OutOrStdout(), text, edited)
			return nil
		},
	})
}

// printDiff prints line diffs of the sections that differ, in the order of the current
// document, followed by those that only the edited document has.
func printDiff(out io.Writer, current, edited []byte) {
	_, before := document.Split(current)
	_, after := document.Split(edited)
	texts := map[string][2]string{}
	var names []string
	for side, sections := range [][]document.Section{before, after} {
		for _, s := range sections {
			pair, ok := texts[s.Name]
			if !ok {
				names = append(names, s.Name)
			}
			pair[side] = s.Text
			texts[s.Name] = pair
		}
	}
	for _, name := range names {
		if pair := texts[name]; pair[0] != pair[1] {
			_, _ = fmt.Fprintf(out, "[%s]\n", name)
			printLineDiff(out, lines(pair[0]), lines(pair[1]))
		}
	}
}

// lines returns the lines of a text without empty lines at its end.
func lines(text string) []string {
	if text = strings.TrimRight(text, "\r\n"); text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// printLineDiff prints the lines of a and b as a diff, with their longest common
// subsequence as the unchanged lines.
func printLineDiff(out io.Writer, a, b []string) {
	// common[i][j] is the length of the longest common subsequence of a[i:] and
	// b[j:].
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	for i, j := 0, 0; i < len(a) || j < len(b); {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			_, _ = fmt.Fprintln(out, "  "+a[i])
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			_, _ = fmt.Fprintln(out, "- "+a[i])
			i++
		default:
			_, _ = fmt.Fprintln(out, "+ "+b[j])
			j++
		}
	}
}

func newKey() *cobra.Command {
	c := &cobra.Command{Use: "key", Short: "Create and withdraw callers' keys"}
	c.AddCommand(newKeyCreate(), newKeyWithdraw())
	return c
}

func newKeyCreate() *cobra.Command {
	var client controlClient
	var name string
	c := client.addFlags(&cobra.Command{
		Use:   "create ORGANISATION",
		Short: "Create a key and print it once; only its hash is stored",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			key, suffix := randomText(keyBytes), randomText(5)
			if name == "" {
				name = args[0] + "-" + suffix
			}
			var team operator.Team
			if _, err := client.getJSON("/v1/team", &team); err != nil {
				return err
			}
			version, text, err := client.getDocument()
			if err != nil {
				return err
			}
			hash := document.HashKey(key)
			text = document.AppendSection(text, team.Team+"/key/"+name, "organisation = "+args[0], "hash = "+hex.EncodeToString(hash[:]))
			if err := client.apply(c, version, inForceFile, text); err != nil && exitCode(err) != exitUnknown {
				return err
			} else if err != nil {
				_, _ = fmt.Fprintln(c.OutOrStdout(), key)
				return err
			}
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "the key %s is printed once and stored nowhere\n", name)
			_, err = fmt.Fprintln(c.OutOrStdout(), key)
			return err
		},
	})
	c.Flags().StringVar(&name, "name", "", "name of the key (default: the organisation and a random part)")
	return c
}

// inForceFile is given as the file name in problems of a document that the key
// commands edited.
const inForceFile = "document in force"

// randomText returns n random bytes in lower-case base32 without padding.
func randomText(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b))
}

func newKeyWithdraw() *cobra.Command {
	var client controlClient
	return client.addFlags(&cobra.Command{
		Use:   "withdraw NAME",
		Short: "Withdraw a key; it stops working within seconds",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			version, text, err := client.getDocument()
			if err != nil {
				return err
			}
			_, sections := document.Split(text)
			for _, s := range sections {
				if strings.HasSuffix(s.Name, "/key/"+args[0]) {
					text, _ = document.SetKey(text, s.Name, "withdrawn", "yes")
					return client.apply(c, version, inForceFile, text)
				}
			}
			return errorWithCode(exitInvalid, "key %q is not in the document; nothing changed", args[0])
		},
	})
}

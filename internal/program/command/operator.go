package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"tamarackrun/internal/transport/operator"
)

const callTimeout = 30 * time.Second

// control is the connection to the control port of an instance.
type control struct {
	address string
	keyFile string
}

func (t *control) flags(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&t.address, "instance", "127.0.0.1:7300", "control address of any instance")
	c.Flags().StringVar(&t.keyFile, "operator-key-file", "", "file that holds the team's operator key")
	_ = c.MarkFlagRequired("operator-key-file")
	return c
}

func (t *control) call(method, path string, body []byte) (int, http.Header, []byte, error) {
	key, err := os.ReadFile(t.keyFile)
	if err != nil {
		return 0, nil, nil, err
	}
	request, err := http.NewRequest(method, "http://"+t.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	request.Header.Set("Tamarackrun-Operator-Key", string(bytes.TrimSpace(key)))
	response, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, content, err
}

// read calls a path that must answer with status 200.
func (t *control) read(path string) (http.Header, []byte, error) {
	status, header, content, err := t.call(http.MethodGet, path, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("the instance answered with status %d: %s", status, bytes.TrimSpace(content))
	}
	return header, content, err
}

func newOperatorCommands() []*cobra.Command {
	return []*cobra.Command{newApply(), newGet(), newStatus(), newExplain()}
}

func newApply() *cobra.Command {
	var t control
	var base int64
	c := &cobra.Command{
		Use:   "apply FILE.ini --base VERSION",
		Short: "Put a document in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			_, _, content, err := t.call(http.MethodPost, fmt.Sprintf("/v1/apply?base=%d", base), text)
			if err != nil {
				return err
			}
			return reportApply(c, content)
		},
	}
	c.Flags().Int64Var(&base, "base", 0, "version that the document was edited from; 0 for the first")
	return t.flags(c)
}

func reportApply(c *cobra.Command, content []byte) error {
	var result operator.ApplyResult
	if json.Unmarshal(content, &result) != nil {
		return fmt.Errorf("the instance refused: %s", bytes.TrimSpace(content))
	}
	for _, p := range result.Problems {
		_, _ = fmt.Fprintln(c.OutOrStdout(), p.String())
	}
	switch {
	case len(result.Problems) > 0:
		return coded(exitInvalid, "%d problems; nothing changed", len(result.Problems))
	case result.Version == 0:
		return coded(exitConflict, "%s; nothing changed", result.Message)
	}
	_, _ = fmt.Fprintf(c.OutOrStdout(), "accepted as version %d\n", result.Version)
	return nil
}

func newGet() *cobra.Command {
	var t control
	return t.flags(&cobra.Command{
		Use:   "get",
		Short: "Print the document in force; its version goes to standard error",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			header, content, err := t.read("/v1/document")
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "version %s\n", header.Get("Document-Version"))
			_, err = c.OutOrStdout().Write(content)
			return err
		},
	})
}

func newStatus() *cobra.Command {
	var t control
	return t.flags(&cobra.Command{
		Use:   "status",
		Short: "Show the fleet as one instance sees it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, content, err := t.read("/v1/status")
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(content)
			return err
		},
	})
}

func newExplain() *cobra.Command {
	var t control
	return t.flags(&cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show what the fleet did with one request",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			_, content, err := t.read("/v1/explain/" + args[0])
			if err != nil {
				return err
			}
			var e operator.Explanation
			if err := json.Unmarshal(content, &e); err != nil {
				return err
			}
			return printExplanation(c.OutOrStdout(), e)
		},
	})
}

func printExplanation(out io.Writer, e operator.Explanation) error {
	for _, r := range e.Events {
		at := time.UnixMilli(r.WallMillis).UTC().Format("15:04:05.000")
		if _, err := fmt.Fprintf(out, "%s %s TR%d %s", at, r.Instance, r.Id, eventName(r.Id)); err != nil {
			return err
		}
		for _, f := range r.Fields {
			_, _ = fmt.Fprintf(out, " %s=%s", f.Name, f.Value)
		}
		_, _ = fmt.Fprintln(out)
	}
	if len(e.Events) == 0 {
		_, _ = fmt.Fprintln(out, "no instance remembers this request")
	}
	for _, s := range e.Silent {
		_, _ = fmt.Fprintf(out, "no answer from instance %s\n", s)
	}
	return nil
}

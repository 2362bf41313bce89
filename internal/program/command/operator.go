package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"tamarackrun/internal/transport/dialer"
	"tamarackrun/internal/transport/httpclient"
	"tamarackrun/internal/transport/operator"
)

// callTimeout bounds a call to the control port with its response.
const callTimeout = 60 * time.Second

// controlClient sends authenticated requests to the control port of an
// instance.
type controlClient struct {
	address string
	keyFile string
}

// addFlags adds the flags for the control address and the operator key.
func (cl *controlClient) addFlags(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&cl.address, "instance", "127.0.0.1:7300", "control address of any instance")
	c.Flags().StringVar(&cl.keyFile, "operator-key-file", "", "file that holds the team's operator key")
	_ = c.MarkFlagRequired("operator-key-file")
	return c
}

// call sends a request with the operator key and returns the status, the header and
// the body of the response.
func (cl *controlClient) call(method, path string, body []byte) (int, http.Header, []byte, error) {
	key, err := os.ReadFile(cl.keyFile)
	if err != nil {
		return 0, nil, nil, err
	}
	if key = bytes.TrimSpace(key); len(key) == 0 || bytes.ContainsAny(key, " \t\r\n") {
		return 0, nil, nil, errorWithCode(exitInvalid, "%s must hold one operator key and nothing else", cl.keyFile)
	}
	request, err := http.NewRequest(method, "http://"+cl.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	request.Header.Set("Tamarackrun-Operator-Key", string(key))
	client := &http.Client{Timeout: callTimeout, Transport: &httpclient.Transport{DialContext: dialer.New(callTimeout).DialContext}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, content, err
}

// callOK calls a path and returns an error unless the status is 200.
func (cl *controlClient) callOK(method, path string) (http.Header, []byte, error) {
	status, header, content, err := cl.call(method, path, nil)
	switch {
	case err != nil:
		return nil, nil, err
	case status == http.StatusUnprocessableEntity || status == http.StatusBadRequest || status == http.StatusUnauthorized:
		return nil, nil, errorWithCode(exitInvalid, "%s; nothing changed", bytes.TrimSpace(content))
	case status != http.StatusOK:
		return nil, nil, fmt.Errorf("the instance answered with status %d: %s", status, bytes.TrimSpace(content))
	}
	return header, content, nil
}

// getJSON decodes the JSON response of a path into target and also returns it
// as it came.
func (cl *controlClient) getJSON(path string, target any) (raw []byte, err error) {
	_, content, err := cl.callOK(http.MethodGet, path)
	if err != nil {
		return nil, err
	}
	return content, json.Unmarshal(content, target)
}

func newOperatorCommands() []*cobra.Command {
	return []*cobra.Command{newApply(), newGet(), newDiff(), newStatus(), newExplain(), newKey(), newDrain()}
}

// outputFlag adds the flag that chooses between a table and JSON.
func outputFlag(c *cobra.Command, output *string) *cobra.Command {
	c.Flags().StringVar(output, "output", "table", "form of the output: table or json")
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
	return c
}

// printOutput writes the raw JSON or calls table, as the flag output says.
func printOutput(out io.Writer, output string, raw []byte, table func(io.Writer) error) error {
	switch output {
	case "json":
		_, err := out.Write(raw)
		return err
	case "table":
		return table(out)
	}
	return errorWithCode(exitInvalid, "--output = %q must be table or json", output)
}

func newStatus() *cobra.Command {
	var client controlClient
	var output string
	return outputFlag(client.addFlags(&cobra.Command{
		Use:   "status",
		Short: "Show the fleet as one instance sees it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var status operator.Status
			raw, err := client.getJSON("/v1/status", &status)
			if err != nil {
				return err
			}
			return printOutput(c.OutOrStdout(), output, raw, func(out io.Writer) error { return printStatus(out, status) })
		},
	}), &output)
}

func printStatus(out io.Writer, s operator.Status) error {
	_, _ = fmt.Fprintf(out, "instance %s, configuration version %d, %s, last proof %s ago\n",
		s.Instance, s.ConfigurationVersion, s.Freshness, s.ProofAge)
	if s.UnreadableVersion > 0 {
		_, _ = fmt.Fprintf(out, "version %d cannot be read and may withdraw keys; a readable version ends the refusals\n", s.UnreadableVersion)
	}
	if len(s.LostRegions) > 0 {
		_, _ = fmt.Fprintf(out, "declared lost: %s\n", strings.Join(s.LostRegions, ", "))
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nINSTANCE\tDOMAIN\tSTATE\tVERSION")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", m.Name, m.FailureDomain, memberState(m), m.ConfigurationVersion)
	}
	_, _ = fmt.Fprintln(w, "\nBACKEND SERVER\tHOME\tIN FLIGHT\tQUEUED\tSLOTS\tSTATE")
	for _, m := range s.Members {
		for _, l := range m.Servers {
			state := "ready"
			switch {
			case l.Leaving:
				state = "leaving"
			case l.Ejected:
				state = "ejected"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", l.Name, m.Name, l.InFlight, l.Queued, l.Slots, state)
		}
	}
	return w.Flush()
}

// memberState returns the state of an instance as status prints it.
func memberState(m operator.Member) string {
	switch {
	case !m.Reachable:
		return "unreachable"
	case m.CutOff:
		return "cutOff"
	case m.Serving:
		return "serving"
	default:
		return "notServing"
	}
}

func newExplain() *cobra.Command {
	var client controlClient
	var output string
	return outputFlag(client.addFlags(&cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show what the fleet did with one request",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var e operator.Explanation
			raw, err := client.getJSON("/v1/explain/"+url.PathEscape(args[0]), &e)
			if err != nil {
				return err
			}
			return printOutput(c.OutOrStdout(), output, raw, func(out io.Writer) error { return printExplanation(out, e) })
		},
	}), &output)
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

func newDrain() *cobra.Command {
	var client controlClient
	var undo bool
	var lost string
	c := &cobra.Command{
		Use:   "drain NAME [--undo] | drain --lost region/NAME [--undo]",
		Short: "Take a backend server, instance, failure domain or region out of service",
		Long: "Take a backend server, instance, failure domain or region out of service. If a name is not unique,\n" +
			"write server/NAME, instance/NAME, domain/NAME or region/NAME.\n\n" +
			"With --lost, tell one instance that a region is lost. It then no longer takes the region's silence\n" +
			"for a partition, and serves the routes that it refused as cut off. Repeat this at the control port\n" +
			"of each instance that should keep serving, and only if nothing in the region runs.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path, err := drainPath(args, lost)
			if err != nil {
				return err
			}
			if undo {
				path += "?undo=yes"
			}
			_, content, err := client.callOK(http.MethodPost, path)
			if err == nil {
				_, err = c.OutOrStdout().Write(content)
			}
			return err
		},
	}
	c.Flags().BoolVar(&undo, "undo", false, "take the drain or the declaration back")
	c.Flags().StringVar(&lost, "lost", "", "region/NAME that is lost")
	return client.addFlags(c)
}

// drainPath returns the path on the control port for the arguments of drain.
func drainPath(args []string, lost string) (string, error) {
	if (len(args) == 1) == (lost != "") {
		return "", errorWithCode(exitInvalid, "give either NAME or --lost region/NAME")
	}
	if lost == "" {
		return "/v1/drain/" + strings.ReplaceAll(url.PathEscape(args[0]), "%2F", "/"), nil
	}
	region, ok := strings.CutPrefix(lost, "region/")
	if !ok || region == "" {
		return "", errorWithCode(exitInvalid, "--lost = %q must be region/NAME", lost)
	}
	return "/v1/lost/" + url.PathEscape(region), nil
}

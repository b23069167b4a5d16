// Package grademill_test checks the import rules and package layout of the project.
package grademill_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "github.com/grademill/grademill/"

// decisions are the packages with pure decision logic: they take values and a time,
// and return values.
var decisions = []string{
	"decide/answer",
	"decide/apikey",
	"decide/apportion",
	"decide/assignment",
	"decide/backoff",
	"decide/callertimeout",
	"decide/capacity",
	"decide/catalog",
	"decide/cause",
	"decide/chain",
	"decide/chaincost",
	"decide/claim",
	"decide/config",
	"decide/connection",
	"decide/demand",
	"decide/departure",
	"decide/endpoint",
	"decide/event",
	"decide/failover",
	"decide/fair",
	"decide/fence",
	"decide/fingerprint",
	"decide/fleet",
	"decide/flow",
	"decide/freshness",
	"decide/grace",
	"decide/hallcapacity",
	"decide/hallsplit",
	"decide/health",
	"decide/isolation",
	"decide/layer",
	"decide/layerreport",
	"decide/limit",
	"decide/liveness",
	"decide/member",
	"decide/once",
	"decide/order",
	"decide/outcome",
	"decide/overdue",
	"decide/overlay",
	"decide/pendingorder",
	"decide/placement",
	"decide/plainload",
	"decide/policy",
	"decide/progress",
	"decide/rate",
	"decide/recentmax",
	"decide/rendezvous",
	"decide/requestlog",
	"decide/requestmemory",
	"decide/responsehead",
	"decide/retry",
	"decide/retryafter",
	"decide/roomshare",
	"decide/route",
	"decide/shedding",
	"decide/suspicion",
	"decide/takeover",
	"decide/thinning",
	"decide/throttle",
	"decide/timeout",
	"decide/trial",
	"decide/unreported",
	"decide/urgency",
	"decide/view",
}

// forbidden are the import path prefixes not allowed in decision packages.
var forbidden = []string{
	"net", "os", "log", "syscall", "github.com/go-kratos", "github.com/sourcegraph/jsonrpc2",
	"github.com/rs/zerolog", "github.com/prometheus", module + "adapter", module + "role", module + "platform",
}

// clockFuncs are the functions of package time that read the clock or wait.
var clockFuncs = map[string]bool{
	"Now": true, "Since": true, "Until": true, "After": true, "AfterFunc": true, "Sleep": true,
	"NewTimer": true, "NewTicker": true, "Tick": true,
}

// sources parses the files of a package, except its tests.
func sources(t *testing.T, dir string) []*ast.File {
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	var files []*ast.File
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		files = append(files, file)
	}
	return files
}

// imports adds to seen the paths that a package imports, directly or through other
// packages of this module.
func imports(t *testing.T, dir string, seen map[string]bool) {
	for _, file := range sources(t, dir) {
		for _, spec := range file.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			require.NoError(t, err)
			if seen[path] {
				continue
			}
			seen[path] = true
			if own, ok := strings.CutPrefix(path, module); ok && own != "wire" {
				imports(t, own, seen)
			}
		}
	}
}

func TestDecisionsImportNoTransport(t *testing.T) {
	for _, dir := range decisions {
		seen := make(map[string]bool)
		imports(t, dir, seen)
		require.NotEmpty(t, sources(t, dir), dir)
		for path := range seen {
			for _, f := range forbidden {
				require.False(t, path == f || strings.HasPrefix(path, f+"/"), "%s imports %s", dir, path)
			}
		}
	}
}

// Guards the layering: decide and port import neither state, role, adapter nor
// platform, and state imports neither role, adapter nor platform.
func TestImportsFollowLayerOrder(t *testing.T) {
	for folder, above := range map[string][]string{
		"decide": {"state/", "role/", "adapter/", "platform"}, "state": {"role/", "adapter/", "platform"}, "port": {"state/", "role/", "adapter/", "platform"},
	} {
		dirs, err := filepath.Glob(folder + "/*")
		require.NoError(t, err)
		for _, dir := range dirs {
			for _, file := range sources(t, dir) {
				for _, spec := range file.Imports {
					path, err := strconv.Unquote(spec.Path.Value)
					require.NoError(t, err)
					own, _ := strings.CutPrefix(path, module)
					for _, up := range above {
						require.False(t, strings.HasPrefix(own, up), "%s imports %s", dir, path)
					}
				}
			}
		}
	}
}

func TestDecisionsReadNoClockAndStartNoGoroutine(t *testing.T) {
	for _, dir := range decisions {
		for _, file := range sources(t, dir) {
			ast.Inspect(file, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					require.Fail(t, "decision package starts a goroutine", dir)
				case *ast.SelectorExpr:
					if pkg, ok := n.X.(*ast.Ident); ok && pkg.Name == "time" {
						require.False(t, clockFuncs[n.Sel.Name], "%s calls time.%s", dir, n.Sel.Name)
					}
				}
				return true
			})
		}
	}
}

// Guards against product code that starts processes: it must not import os/exec.
func TestNoProcessIsStarted(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil || !entry.IsDir() || strings.HasPrefix(path, ".git") {
			return err
		}
		for _, file := range sources(t, path) {
			for _, spec := range file.Imports {
				require.NotEqual(t, `"os/exec"`, spec.Path.Value, path)
			}
		}
		return nil
	})
	require.NoError(t, err)
}

// platformNames matches the names used by the users' platform on the wire and in
// its store.
var platformNames = regexp.MustCompile(
	`X-(Request-Id|Deadline-Ms|Expect-Instance|Tenant|Token-Usage|Prefix-Hash|Model|Response-Seal|Not-Executed|Instance-)` +
		`|At-Server|Length-Hint|Last-Event-Id|"Priority"|"Path"|"Versions"|/-/|"op/|"servers/|GRADEMILL_BOOT` +
		`|path_prefix|api_keys|slo_ms|gap_aim_ms|kv_used|kv_total|to_version|busy_slots|read_x|act_bytes|pipe_mbps|cold_left_ms`)

// Only platform/, and the stand-ins that implement the platform's protocol, may
// use the platform's names.
func TestPlatformNamesStayInTheirFolder(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
			strings.HasPrefix(path, "platform/") || strings.HasPrefix(path, "standin/") {
			return err
		}
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Empty(t, platformNames.FindString(string(text)), path)
		return nil
	})
	require.NoError(t, err)
}

// The package platform only translates, so it has to stay small.
func TestPlatformFolderIsSmall(t *testing.T) {
	const maxLines = 1500
	paths, err := filepath.Glob("platform/*.go")
	require.NoError(t, err)
	lines := 0
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		lines += strings.Count(string(text), "\n")
	}
	require.Less(t, lines, maxLines)
}

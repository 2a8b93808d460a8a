package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "box.ini")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestLoadPrecedence(t *testing.T) {
	const text = "[box]\nname = from-file\nhall = from-file\n[times]\nbeat = 2s\nlapse = 10s\ncutoff = 20s\n"
	t.Setenv("CHUTEREACH_BOX_NAME", "from-environment")
	t.Setenv("CHUTEREACH_TIMES_BEAT", "3s")
	s, err := Load([]string{"--config", writeConfig(t, text), "--times.beat", "4s"})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ what, got, want string }{
		{"default", s.Box.HTTP, "127.0.0.1:7480"},
		{"file over default", s.Box.Hall, "from-file"},
		{"environment over file", s.Box.Name, "from-environment"},
		{"flag over environment", s.Times.Beat.String(), "4s"},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %s, want %s", c.what, c.got, c.want)
		}
	}
}

func TestLoadReportsInvalidSettings(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", "[box]\nnme = x\n", "box.ini:2: nme: unknown key nme"},
		{"unknown section", "[bx]\nname = x\n", "box.ini:1: section [bx] is unknown"},
		{"missing unit", "[times]\nbeat = 1\n", "box.ini:2: beat: time: missing unit"},
		{"duplicate key", "[box]\nname = a\nname = b\n", "box.ini:3: name: is given twice"},
		{"not an address", "[box]\nhttp = here\n", "box.ini:2: http: \"here\" is not an address"},
		{"not an IP address", "[box]\nhttp = localhost:1\n", "box.ini:2: http: \"localhost\" is not an IP address"},
		{"bad choice", "[log]\nlevel = loud\n", "box.ini:2: level: Invalid value"},
		{"rule between settings", "[times]\nbeat = 2s\nlapse = 3s\n", "box.ini:3: lapse: must be at least 2 times beat (2s), got 3s"},
		{"platform without keys", "[platform]\nurl = http://10.0.0.1:1\n", "authority, cert and key are required"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load([]string{"--config", writeConfig(t, c.text)})
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line with %q", err, c.want)
			}
		})
	}
	if _, err := Load([]string{"--config", "/nowhere/box.ini"}); err == nil || !strings.Contains(err.Error(), "/nowhere/box.ini: no such file") {
		t.Errorf("missing file: %v", err)
	}
	if _, err := Load([]string{"--nonsense"}); err == nil || !strings.Contains(err.Error(), "nonsense") {
		t.Errorf("unknown flag: %v", err)
	}
	var help *HelpError
	if _, err := Load([]string{"--help"}); !errors.As(err, &help) || !strings.Contains(help.Text, "--box.name") {
		t.Errorf("help: %v", err)
	}
}

func TestPrintMasksSecrets(t *testing.T) {
	s, err := Load([]string{"--operator.token", "hush"})
	if err != nil {
		t.Fatal(err)
	}
	text := s.Print()
	if strings.Contains(text, "hush") || !strings.Contains(text, "[operator]\ntoken = (set)") {
		t.Error(text)
	}
}

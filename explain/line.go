package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds a line of a log; a longer one is an error of the file.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time      `json:"time"`
	Box     string         `json:"box"` // whose log it is
	Message string         `json:"message"`
	Job     string         `json:"job,omitempty"`
	Fields  map[string]any `json:"fields,omitempty"` // all others
}

// LogError says that a log cannot be read.
type LogError struct {
	Name  string
	Cause error
}

func (e *LogError) Error() string { return fmt.Sprintf("%s: %v", e.Name, e.Cause) }

func (e *LogError) Unwrap() error { return e.Cause }

// Read reads a log: JSON objects, one a line. A collector may have put words before
// each, of which the last one that is no number names the box; otherwise name does.
// Lines that are no log lines are passed over and counted.
func Read(r io.Reader, name string) (lines []Line, passed int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text(), name)
		if !ok {
			passed++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, passed, &LogError{name, err}
	}
	return lines, passed, nil
}

func parse(text, name string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
		return Line{}, false
	}
	line := Line{Box: boxOf(text[:begin], name), Fields: fields}
	line.Message, _ = fields["message"].(string)
	line.Job, _ = fields["job"].(string)
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.Time = at
	for _, key := range []string{"message", "job", "time", "level", "part"} {
		delete(fields, key)
	}
	return line, true
}

func boxOf(prefix, name string) string {
	words := strings.Fields(prefix)
	slices.Reverse(words)
	for _, word := range words {
		if strings.ContainsFunc(word, func(c rune) bool { return 'a' <= c && c <= 'z' }) {
			return word
		}
	}
	return name
}

// text returns a field that is a text.
func (l Line) text(key string) string {
	text, _ := l.Fields[key].(string)
	return text
}

// texts returns a field that is a list of texts.
func (l Line) texts(key string) []string {
	list, _ := l.Fields[key].([]any)
	var texts []string
	for _, item := range list {
		if text, ok := item.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// duration returns a field that is a time in milliseconds.
func (l Line) duration(key string) time.Duration {
	ms, _ := l.Fields[key].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

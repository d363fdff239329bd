package keys

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// minKeyLength is the minimum length of a key in bytes.
const minKeyLength = 16

// operatorKey is the key of one operator. Only its digest is kept in memory.
type operatorKey struct {
	name   string
	digest [sha256.Size]byte
}

// Operators checks the keys of operators. The file has one line "NAME KEY" per operator. Empty
// lines and lines that start with # are ignored.
type Operators struct {
	path string

	mu       sync.Mutex
	keys     []operatorKey
	modified time.Time
}

// LoadOperators loads the operators' keys from a file.
func LoadOperators(path string) (*Operators, error) {
	o := &Operators{path: path}
	if _, err := o.Reload(); err != nil {
		return nil, err
	}
	return o, nil
}

// Reload reloads the keys if the file was modified, and reports whether it did. After an error the
// old keys remain in use.
func (o *Operators) Reload() (bool, error) {
	modified, err := latestModTime(o.path)
	if err != nil {
		return false, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !modified.After(o.modified) {
		return false, nil
	}
	data, err := os.ReadFile(o.path)
	if err != nil {
		return false, eris.Wrap(err, "keys: read operators' keys")
	}
	keys, err := parseOperators(o.path, data)
	if err != nil {
		return false, err
	}
	o.keys = keys
	o.modified = modified
	return true, nil
}

func parseOperators(path string, data []byte) ([]operatorKey, error) {
	var keys []operatorKey
	lines := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		name, key, _ := strings.Cut(text, " ")
		key = strings.TrimSpace(key)
		if len(key) < minKeyLength {
			return nil, eris.Errorf("keys: %s line %d: a name and a key of at least %d bytes are required", path, n, minKeyLength)
		}
		keys = append(keys, operatorKey{name: name, digest: sha256.Sum256([]byte(key))})
	}
	if len(keys) == 0 {
		return nil, eris.Errorf("keys: %s contains no keys", path)
	}
	return keys, eris.Wrapf(lines.Err(), "keys: read %s", path)
}

// Check returns the name of the operator that the key belongs to. It compares the key with all
// stored keys in constant time, so that the duration reveals nothing about them.
func (o *Operators) Check(key string) (name string, ok bool) {
	digest := sha256.Sum256([]byte(key))
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range o.keys {
		if subtle.ConstantTimeCompare(k.digest[:], digest[:]) == 1 {
			name, ok = k.name, true
		}
	}
	return name, ok
}

package storage

import (
	"errors"
	"fmt"
	"io/fs"
)

const (
	// formName is the file that says in which form the other files are, and which build has written
	// them last. Builds that don't know it leave it as it is.
	formName = "form"
	// folderForm is the form that this build writes, and the highest one that it reads. It is raised if
	// older builds would take the files for damaged ones, or would change them in a wrong way.
	folderForm = 1
)

// FormError means that a newer build has written something that this build can't read. Nothing in the
// folder was changed.
type FormError struct {
	// Path is the file or folder.
	Path string
	// Form says what this build does not know.
	Form string
	// Build is the build that has opened the folder last, "" if it has left no name.
	Build string
	// Reader is this build.
	Reader string
}

func (e *FormError) Error() string {
	writer := "a newer build"
	if e.Build != "" {
		writer = "build " + e.Build
	}
	return fmt.Sprintf("storage: %s: %s can't be read by this build (%s); the folder was last opened by %s. "+
		"Start %s or a newer one with the folder. To go back to this build, set the folder aside and let the instance join "+
		"the others with an empty one. Nothing in the folder was changed", e.Path, e.Form, e.Reader, writer, writer)
}

// folderFormFile is the content of the file formName.
type folderFormFile struct {
	form  uint64
	build string
}

// encode returns one frame with lines of text.
func (f folderFormFile) encode() []byte {
	return identityFramer.appendFrame(nil, fmt.Appendf(nil, "form %d\nbuild %s\n", f.form, f.build))
}

func decodeFolderForm(data []byte) (folderFormFile, bool) {
	body, size, ok := identityFramer.decodeFrame(data)
	if !ok || size != len(data) {
		return folderFormFile{}, false
	}
	var f folderFormFile
	// Further lines belong to newer builds, and a build may have no name.
	n, _ := fmt.Sscanf(string(body), "form %d\nbuild %s\n", &f.form, &f.build)
	return f, n > 0
}

// readForm reads the form of the folder before any other file. A folder without the file has the first
// form.
func (l *Log) readForm() error {
	path := join(l.folder, formName)
	data, err := l.fs.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return wrapError("read", path, err)
	}
	form, ok := decodeFolderForm(data)
	if !ok {
		return corruptedError(path, 0, "the form is invalid")
	}
	l.form = form
	if l.form.form > folderForm {
		return l.formError(l.folder, fmt.Sprintf("form %d", l.form.form))
	}
	return nil
}

// writeForm names this build as the one that writes the folder.
func (l *Log) writeForm() error {
	own := folderFormFile{form: folderForm, build: l.build}
	if own == l.form {
		return nil
	}
	l.form = own
	return replaceFile(l.fs, l.folder, formName, own.encode())
}

func (l *Log) formError(path, form string) error {
	return &FormError{Path: path, Form: form, Build: l.form.build, Reader: l.build}
}

// check asks the owner of the folder whether it can use the content.
func (l *Log) check(f func(Stored) error, s Stored) error {
	if f == nil {
		return nil
	}
	err := f(s)
	var form *FormError
	if errors.As(err, &form) {
		return l.formError(l.folder, form.Form)
	}
	return err
}

// newerIdentity returns the version of an identity that this build does not know.
func newerIdentity(data []byte) (version byte, ok bool) {
	body, size, ok := identityFramer.decodeFrame(data)
	if !ok || size != len(data) || body[0] <= identityVersion {
		return 0, false
	}
	return body[0], true
}

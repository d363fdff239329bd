package settings

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// Markdown returns the contents of docs/SETTINGS.md, which describes every key.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nAll files are INI. A file is checked as a whole, and every fault is reported with file, section, key, value and reason.\n")
	writeTable(&b, "Settings of one instance (`balsamd -settings FILE`)", processSchema)
	writeTable(&b, "Settings of a gateway or a controller (`balsamd gateway -settings FILE`, `balsamd controller -settings FILE`)", memberSchema)
	writeTable(&b, "Shared configuration (`base.ini`, and a file for each data centre with what differs there)", sharedConfigSchema)
	writeTable(&b, "Emulated backend servers (`balsamctl emulate -fleet FILE`)", fleetSchema)
	return b.String()
}

func writeTable(b *strings.Builder, title string, schema []Key) {
	fmt.Fprintf(b, "\n## %s\n\n| section | key | default | unit | meaning |\n|---|---|---|---|---|\n", title)
	for _, k := range schema {
		fmt.Fprintf(b, "| `[%s]` | `%s` | %s | %s | %s |\n", sectionPattern(k.Section), k.Name, codeSpan(k.Default), k.Unit, k.Doc)
	}
}

// sectionPattern returns a section header as docs/SETTINGS.md shows it, with NAME if the sections
// of this kind are named.
func sectionPattern(section string) string {
	switch section {
	case "service", "workspace", "server", "data_centre":
		return section + " NAME"
	}
	return section
}

func codeSpan(value string) string {
	if value == "" {
		return ""
	}
	return "`" + value + "`"
}

// SchemaID returns a hash of the schema of the shared configuration.
func SchemaID() string {
	h := fnv.New64a()
	for _, k := range sharedConfigSchema {
		fmt.Fprintf(h, "%s\x00%s\x00%s\x00", k.Section, k.Name, k.Default)
	}
	return strconv.FormatUint(h.Sum64(), 36)
}

// Package config holds the configuration model and reads it from a folder of
// YAML files, merged in the order of their names.
//
// Each file is checked against a schema of its own first, which finds unknown
// keys, wrong types and wrong units, and turned into a tree whose nodes know
// their place. The trees are merged: a mapping key by key, a list of named
// things (databases, classes, callers) by name, anything else replaced as a
// whole. The merged tree is decoded into services, and rules that need more
// than one value are checked there. All findings of a folder are reported
// together; the places survive the merge, so a finding points into the file
// that set the value.
package config

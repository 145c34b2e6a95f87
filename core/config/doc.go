// Package config defines the configuration model and loads it from a folder of
// YAML files, merged in the order of their names.
//
// Each file is first checked by itself against the schema, which finds unknown
// keys, wrong types and missing units, and is turned into a tree whose nodes
// record their position. The trees are then merged: mappings key by key, lists
// of named items (databases, classes, callers) by name, and any other value is
// replaced as a whole. The merged tree is decoded into services, and rules that
// involve several values are checked at that stage. All findings of a folder
// are reported together. Positions survive the merge, so each finding points
// into the file that set the value.
package config

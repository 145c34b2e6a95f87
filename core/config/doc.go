// Package config holds the configuration model and reads it from a folder of
// YAML files, merged in the order of their names.
package config

package config

import (
	"cmp"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"

	"github.com/gypsumgap/gypsumgap/core/finding"
)

// Load reads the YAML files of a folder, merges them in the order of their names
// and returns the services ordered by name. The findings contain errors and
// warnings; the services are valid only if findings.Err() is nil. Load ignores
// subfolders, hidden files and files whose names don't end in .yaml or .yml.
//
// It returns an error only if the folder or a file can't be read.
func Load(folder fs.FS) ([]Service, *finding.List, error) {
	entries, err := fs.ReadDir(folder, ".")
	if err != nil {
		return nil, nil, fmt.Errorf("configuration folder: %w", err)
	}
	findings := &finding.List{}
	m := &merger{findings: findings}
	var root *node
	files := 0
	for _, e := range entries {
		if e.IsDir() || !isYAML(e.Name()) {
			continue
		}
		files++
		data, err := fs.ReadFile(folder, e.Name())
		if err != nil {
			return nil, nil, fmt.Errorf("configuration file: %w", err)
		}
		r := &fileReader{name: e.Name(), findings: findings}
		root = m.merge(root, r.read(data), "")
	}
	if files == 0 {
		findings.Errorf(finding.Position{File: "."}, "at least one file with the name *.yaml", "the folder has no configuration file")
		return nil, findings, nil
	}
	return decodeRoot(root, findings), findings, nil
}

func decodeRoot(root *node, findings *finding.List) []Service {
	if root == nil {
		if findings.Err() == nil {
			findings.Errorf(finding.Position{File: "."}, `the key "services" in at least one file`, "no file has content")
		}
		return nil
	}
	d := newDecoder(findings)
	d.checkRequired(root, "the folder")
	services := d.decodeServices(root)
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

func isYAML(name string) bool {
	if strings.HasPrefix(name, ".") {
		return false
	}
	ext := path.Ext(name)
	return ext == ".yaml" || ext == ".yml"
}

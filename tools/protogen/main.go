// Command protogen replaces protoc: it compiles a protocol buffer source file and runs
// code generation plugins on it. The generated files are written below FOLDER.
//
// Usage: protogen FOLDER FILE PLUGIN...
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/pluginpb"
)

// minArguments is the smallest length of os.Args: the program, FOLDER, FILE and a PLUGIN.
const minArguments = 4

func main() {
	if len(os.Args) < minArguments {
		fmt.Fprintln(os.Stderr, "usage: protogen FOLDER FILE PLUGIN...")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2], os.Args[3:]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run(folder, file string, plugins []string) error {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{folder}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return fmt.Errorf("compile %s: %w", file, err)
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: []string{file}, Parameter: proto.String("paths=source_relative")}
	for _, f := range files {
		request.ProtoFile = append(request.ProtoFile, protoutil.ProtoFromFileDescriptor(f))
	}
	for _, p := range plugins {
		if err := generate(folder, p, request); err != nil {
			return fmt.Errorf("plugin %s: %w", p, err)
		}
	}
	return nil
}

func generate(folder, plugin string, request *pluginpb.CodeGeneratorRequest) error {
	input, err := proto.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	command := exec.Command(plugin)
	command.Stdin, command.Stderr = bytes.NewReader(input), os.Stderr
	output, err := command.Output()
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if response.Error != nil {
		return fmt.Errorf("generate: %s", response.GetError())
	}
	for _, f := range response.File {
		if err := os.WriteFile(filepath.Join(folder, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return fmt.Errorf("write generated file: %w", err)
		}
	}
	return nil
}

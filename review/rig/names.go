package main

import (
	_ "embed"
	"encoding/json"
)

// namesFile holds the platform's names of headers and fields.
//
//go:embed names.json
var namesFile []byte

// wireNames are the platform's names of headers and fields, by the names used here.
type wireNames struct {
	Header, Entry, Order map[string]string
}

var wire = loadNames()

func loadNames() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}

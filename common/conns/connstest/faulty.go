package connstest

import "fmt"

// FaultyHead is a response whose head isn't HTTP, so that nothing in it shows where its body ends.
type FaultyHead struct{ Name, Text string }

// faultyFields are lines that no head may have.
var faultyFields = []FaultyHead{
	{"a name with a blank", "X Wrong: y"},
	{"a blank before the colon", "X-Wrong : y"},
	{"a tab before the colon", "X-Wrong\t: y"},
	{"a name with \\x01", "X-\x01Wrong: y"},
	{"a name with \\x0b", "X-\x0bWrong: y"},
	{"a name with NUL", "X-\x00Wrong: y"},
	{"a name with DEL", "X-\x7fWrong: y"},
	{"a name with CR", "X-\rWrong: y"},
	{"a name with a byte over 0x7f", "X-\x80Wrong: y"},
	{"a name with a parenthesis", "X-(Wrong: y"},
	{"no name", ": y"},
	{"no colon", "X-Wrong"},
	{"a value with \\x01", "X-Wrong: \x01y"},
	{"a value with NUL", "X-Wrong: \x00y"},
	{"a value with DEL", "X-Wrong: \x7fy"},
	{"a value with CR", "X-Wrong: a\ry"},
	{"a line that begins with a blank", " X-Wrong: y"},
	{"a line that begins with a tab", "\tX-Wrong: y"},
}

// faultyFramings are fields of a body of four bytes that contradict each other or say nothing of its end.
var faultyFramings = []FaultyHead{
	{"two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n"},
	{"a length with a sign", "Content-Length: +4\r\n"},
	{"a length below zero", "Content-Length: -4\r\n"},
	{"a list of lengths", "Content-Length: 4, 5\r\n"},
	{"another coding", "Transfer-Encoding: gzip\r\n"},
	{"two codings", "Transfer-Encoding: gzip, chunked\r\n"},
	{"codings on two lines", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"},
}

// FaultyHeads returns responses with the status 200. Fields are valid header lines that each of them begins with. Most
// have the body, and bytes after it that a reader of a wrong length takes for a part of it.
func FaultyHeads(fields, body string) []FaultyHead {
	const status = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const codings = "Transfer-Encoding: chunked\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	more := "\r\n" + body + " and more"
	list := []FaultyHead{
		{"a length with a blank before its colon", fmt.Sprintf("%s%sContent-Length : %d\r\n%s", status, fields, len(body), more)},
		{"codings with a blank before their colon", status + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunks},
		{"a length on a line that begins with a blank", status + fields + " " + length + more},
		{"a length on a line that begins with a tab", status + fields + "\t" + length + more},
		{"HTTP/1.0 with codings", "HTTP/1.0 200 OK\r\n" + fields + codings + "\r\n" + chunks},
		{"HTTP/1.0 with codings in lower case", "HTTP/1.0 200 OK\r\n" + fields + "transfer-encoding: chunked\r\n\r\n" + chunks},
		{"HTTP/0.9 with codings", "HTTP/0.9 200 OK\r\n" + fields + codings + "\r\n" + chunks},
		{"after an interim head", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + status + fields + " " + length + more},
		{"after an interim head with two blanks", "HTTP/1.1  103 Early Hints\r\nLink: x\r\n\r\n" + status + fields + " " + length + more},
		{"within an interim head", "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n" + status + fields + length + "\r\n" + body},
		{"bare line ends", "HTTP/1.1 200 OK\n" + fields + "X-Wrong : y\n" + length + "\n" + body},
	}
	for _, framing := range faultyFramings {
		list = append(list, FaultyHead{framing.Name, status + fields + framing.Text + "\r\n" + body})
	}
	for _, f := range faultyFields {
		list = append(list, FaultyHead{f.Name, status + fields + f.Text + "\r\n" + length + "\r\n" + body})
	}
	return list
}

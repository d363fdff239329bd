package emulate

import (
	"io"
	"net"
)

// BrokenHead is the head of an answer that HTTP doesn't allow: its status line and headers, each with its line end, without the
// empty line.
type BrokenHead struct{ Name, Head string }

// BrokenHeads returns a head of each kind that a backend server in trouble may send. lines are the headers of a sound answer.
// A body in chunks may follow each head.
func BrokenHeads(lines string) []BrokenHead {
	const statusOK = "HTTP/1.1 200 OK\r\n"
	chunks := lines + "Transfer-Encoding: chunked\r\n"
	return []BrokenHead{
		{"status 000", "HTTP/1.1 000 \r\n" + chunks},
		{"status 099", "HTTP/1.1 099 Low\r\n" + chunks},
		{"status -00", "HTTP/1.1 -00 Sign\r\n" + chunks},
		{"status +42", "HTTP/1.1 +42 Sign\r\n" + chunks},
		{"status of two digits", "HTTP/1.1 20 Short\r\n" + chunks},
		{"status of four digits", "HTTP/1.1 2000 Long\r\n" + chunks},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + chunks},
		{"carriage return in the reason", "HTTP/1.1 200 O\rK\r\n" + chunks},
		{"blank in a name", statusOK + chunks + "X Y: z\r\n"},
		{"blank at the end of a name", statusOK + chunks + "X-Y : z\r\n"},
		{"blank at the end of the length's name", statusOK + lines + "Content-Length : 4\r\n"},
		{"blank at the end of the encoding's name", statusOK + lines + "Transfer-Encoding : chunked\r\n"},
		{"control byte in a name", statusOK + chunks + "X\x01Y: z\r\n"},
		{"zero byte in a name", statusOK + chunks + "X\x00Y: z\r\n"},
		{"tab in a name", statusOK + chunks + "X\tY: z\r\n"},
		{"carriage return in a name", statusOK + chunks + "X\rY: z\r\n"},
		{"delete in a name", statusOK + chunks + "X\x7fY: z\r\n"},
		{"byte over 127 in a name", statusOK + chunks + "X\xe9Y: z\r\n"},
		{"blank at the start of the first line", statusOK + " X-Y: z\r\n" + chunks},
		{"no name", statusOK + chunks + ": z\r\n"},
		{"no colon", statusOK + chunks + "X-Y\r\n"},
		{"control byte in a value", statusOK + chunks + "X-Y: z\x01\r\n"},
		{"zero byte in a value", statusOK + chunks + "X-Y: z\x00\r\n"},
		{"two lengths", statusOK + lines + "Content-Length: 4\r\nContent-Length: 2\r\n"},
		{"signed length", statusOK + lines + "Content-Length: +4\r\n"},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + chunks},
		{"unknown encoding", statusOK + lines + "Transfer-Encoding: gzip, chunked\r\n"},
	}
}

// sendBrokenHead is the hijack handler for FaultBrokenHead.
func (e *engine) sendBrokenHead(c net.Conn) {
	heads := BrokenHeads("")
	n := e.brokenHeads.Add(1)
	_, _ = io.WriteString(c, heads[n%uint64(len(heads))].Head+"\r\n2\r\n{}\r\n0\r\n\r\n")
}

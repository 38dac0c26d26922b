//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/turmerictide/turmerictide/review/kit"
)

// smuggled: a client sends one request with both Content-Length and Transfer-Encoding. By its
// length, the text of another request lies inside its body. The daemon refuses that with 400 if
// each line of the head ends with CR LF and nothing came before it on the channel. It is sent in
// two other forms too: a line of the head that ends with LF alone, and a head that
// arrives together with the request before it.
func smuggled(trouble bool) {
	store := kit.NewStore()
	var desk []*kit.Server
	for i, zone := range []string{"norte-a", "norte-b", "norte-c"} {
		desk = append(desk, kit.NewServer(fmt.Sprintf("i-desk%d", i), "desk", zone, ""))
	}
	store.Put("op/config", kit.Manifest(3, kit.Route("orders", "non_idempotent", "desk", 1, 800, 300, false)))
	for _, s := range desk {
		store.Put("servers/"+s.ID, s.Entry("ready"))
	}
	d := kit.StartDaemon(kit.Options{Name: "edge-norte-a-1", Zone: "norte-a", IP: "127.0.0.1", Store: store.Addr})
	kit.AwaitReady(d)
	time.Sleep(time.Second)
	request := func(name, id, framing, body string) string {
		return "POST /orders/" + name + " HTTP/1.1\r\nHost: desk.example\r\nTurmerictide-Attempt-Id: " + id + "\r\nTurmerictide-Deadline-Ms: 1500\r\n" + framing + "\r\n\r\n" + body
	}
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d", len(body)) }
	broken := 0
	for _, form := range []string{"usual lines", "one line ends with LF alone", "behind another request"} {
		outerID, innerID := kit.NewAttempt(), kit.NewAttempt()
		inner := request("inner", innerID, length("hi"), "hi")
		body := "0\r\n\r\n" + inner
		text := request("outer", outerID, length(body), body)
		if trouble {
			text = request("outer", outerID, length(body)+"\r\nTransfer-Encoding: chunked", body)
		}
		switch form {
		case "one line ends with LF alone":
			text = strings.Replace(text, "\r\nTransfer-Encoding", "\nTransfer-Encoding", 1)
		case "behind another request":
			text = request("first", kit.NewAttempt(), length("hi"), "hi") + text
		}
		c, err := net.Dial("tcp", d.Front)
		if err != nil {
			kit.Fail(err)
		}
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
		reader := bufio.NewReader(c)
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			answer, _ := io.ReadAll(response.Body)
			kit.Log("%s: answer %d to attempt %q: %q", form, response.StatusCode, response.Header.Get("Turmerictide-Attempt-Id"), answer)
		}
		_ = c.Close()
		for _, s := range desk {
			for _, r := range s.AllRuns() {
				if r.ID == outerID || r.ID == innerID {
					kit.Log("%s: server %s ran attempt %s, %s, body of %d bytes", form, s.ID, r.ID, r.Path, len(r.Body))
				}
				if r.ID == innerID {
					broken++
				}
			}
		}
	}
	kit.Log("%d requests that lay inside another one were run", broken)
	verdict(broken > 0)
}

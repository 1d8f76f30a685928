package crowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
)

// request is a complete request of a crowd.
type request struct {
	head string
	body []byte
}

func (r request) send(w io.Writer) error {
	if err := sendAll(w, r.head, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(r.body))); err != nil {
		return err
	}
	_, err := w.Write(r.body)
	return err
}

// jsonList returns a JSON document of the given size that consists of two texts and a list of
// repeated elements between them.
func jsonList(size int, before, element, after string) []byte {
	n := (size - len(before) - len(after)) / (len(element) + 1)
	return []byte(before + strings.Repeat(element+",", n-1) + element + after)
}

// jsonKeys returns a JSON object of the given size with distinct keys.
func jsonKeys(size int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"a":0`)
	for n := 0; b.Len() < size-16; n++ {
		fmt.Fprintf(&b, `,"%x":0`, n)
	}
	b.WriteString("}")
	return b.Bytes()
}

// emptyMessages returns a message of the protocol buffers format that holds nothing but
// empty messages in the field with the number.
func emptyMessages(size, field int) []byte {
	const lengthDelimited = 2
	return bytes.Repeat([]byte{byte(field<<3 | lengthDelimited), 0}, size/2)
}

// emptySteps returns a request of the JobService that submits a job with as many empty steps
// as fit into the size.
func emptySteps(size int) []byte {
	const (
		headBytes     = 10
		mapOfOne      = 0xa1
		stepsKey      = 0x02
		array32       = 0x9a
		emptyMap      = 0xa0
		kindTag       = 1 << 3
		submit        = 1
		bodyTag       = 4<<3 | 2
		varintBits    = 7
		varintMore    = 0x80
		bitsPerByte   = 8
		array32Digits = 4
	)
	n := size - 2*headBytes
	spec := []byte{mapOfOne, stepsKey, array32}
	for i := array32Digits - 1; i >= 0; i-- {
		spec = append(spec, byte(n>>(bitsPerByte*i)))
	}
	spec = append(spec, bytes.Repeat([]byte{emptyMap}, n)...)
	message := []byte{kindTag, submit, bodyTag}
	for left := len(spec); ; left >>= varintBits {
		if left < varintMore {
			message = append(message, byte(left))
			break
		}
		message = append(message, byte(left)|varintMore)
	}
	return append(message, spec...)
}

func rpcHead(procedure string) string {
	return head("POST /laburnumdock.v1."+procedure+" HTTP/1.1", "Host: h", rpcType)
}

// nestedDocuments returns the requests of a port whose JSON bodies take far more memory when
// they are decoded than on the wire.
func nestedDocuments(p port) []request {
	switch p.name {
	case "executors":
		return []request{
			{p.postHead, jsonList(maxBodyBytes, `{"Version":9,"Routes":[`, "{}", "]}")},
			{p.postHead, jsonList(maxBodyBytes, `{"Version":9,"Services":[`, "{}", "]}")},
			{head("POST /instances/e-2/heartbeat HTTP/1.1", "Host: h"), jsonKeys(maxBodyBytes)},
		}
	case "callers":
		return []request{{p.postHead, jsonList(maxBodyBytes, `{"Spec":"x","Steps":[`, "{}", "]}")}}
	case "api":
		return []request{{p.postHead, jsonList(maxBodyBytes, `{"status":{"conditions":[`, "{}", "]}}")}}
	default:
		return nil
	}
}

// nestedMessages returns the same for messages between processes of the system.
func nestedMessages(p port) []request {
	const reportsField, messagesField, announcementsField = 1, 2, 3
	if p.name != "peer" {
		return nil
	}
	switch {
	case strings.Contains(p.postHead, "JobService"):
		return []request{
			{rpcHead("JobService/Report"), emptyMessages(maxBodyBytes, reportsField)},
			{rpcHead("RaftService/Deliver"), emptyMessages(maxBodyBytes, messagesField)},
		}
	case strings.Contains(p.postHead, "RaftService"):
		return []request{{p.postHead, emptyMessages(maxBodyBytes, messagesField)}}
	default:
		return []request{{p.postHead, emptyMessages(maxBodyBytes, announcementsField)}}
	}
}

// nestedValues returns requests whose messages hold an encoded value that takes far more
// memory when it is decoded.
func nestedValues(p port) []request {
	if p.name != "peer" || !strings.Contains(p.postHead, "JobService") {
		return nil
	}
	return []request{{p.postHead, emptySteps(maxBodyBytes)}}
}

// nestedJSONMessages returns requests for processes of the system in their JSON form.
func nestedJSONMessages(p port) []request {
	if p.name != "peer" || !strings.Contains(p.postHead, "JobService") {
		return nil
	}
	return []request{{strings.Replace(rpcHead("JobService/Report"), "proto", "json", 1), jsonList(maxBodyBytes, `{"reports":[`, "{}", "]}")}}
}

// decodedKind returns a crowd whose members send one of the requests each, whole. On a port
// without such a request they send nothing.
func decodedKind(name string, requests func(port) []request) kind {
	var mu sync.Mutex
	byPort := map[string][]request{}
	return kind{name: name, send: func(w io.Writer, p port, member int) error {
		mu.Lock()
		list, known := byPort[p.address]
		if !known {
			list = requests(p)
			byPort[p.address] = list
		}
		mu.Unlock()
		if len(list) == 0 {
			return nil
		}
		return list[member%len(list)].send(w)
	}}
}

const (
	// entryHostNameBytes is the size of the names that a crowd gives itself, and
	// entryHostNameCount the number of names of each member.
	entryHostNameBytes = 12 << 10
	entryHostNameCount = 32
)

// entryHostNames is a crowd whose members say that they are entry hosts with long names.
func entryHostNames() kind {
	return kind{name: "entry-host-names", reads: true, send: func(w io.Writer, p port, member int) error {
		if p.name != "peer" || !strings.Contains(p.postHead, "JobService") {
			return nil
		}
		const head, length = "\x0a", "\x80\x60"
		for i := range entryHostNameCount {
			name := fmt.Sprintf("http://%d.%d", member, i)
			body := head + length + name + strings.Repeat("x", entryHostNameBytes-len(name))
			if err := (request{rpcHead("CellService/Members"), []byte(body)}).send(w); err != nil {
				return err
			}
		}
		return nil
	}}
}

// Guards against bodies of legal size that take many times their size once they are decoded,
// and against names of clients that are kept.
func TestDecodedCrowds(t *testing.T) {
	for _, one := range systems {
		t.Run(one.name, func(t *testing.T) {
			for _, k := range []kind{decodedKind("nested-documents", nestedDocuments), decodedKind("nested-messages", nestedMessages)} {
				t.Run(k.name, func(t *testing.T) { runCrowd(t, one.start(t), k.stand) })
			}
			if one.name != "dock-cell" {
				return
			}
			for _, k := range []kind{
				decodedKind("nested-values", nestedValues), decodedKind("nested-json-messages", nestedJSONMessages), entryHostNames(),
			} {
				t.Run(k.name, func(t *testing.T) { runCrowd(t, one.start(t), k.stand) })
			}
		})
	}
}

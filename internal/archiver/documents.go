package archiver

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"

	"persimmontrail/internal/encoder"
	"persimmontrail/pkg/descriptor"
)

// Keys of the documents in the store. Each document is written by processes of one role only.
const (
	// Prefix is the common prefix of the keys of all documents. Keys that operators write have other prefixes.
	Prefix = "pt/"
	// LeaderKey holds the Member of the current leader, attached to the leader's lease. Written by entries.
	LeaderKey = Prefix + "leader"
	// ExpectationsKey holds the estimator.Snapshot of the leader. It does not have the prefix of the other documents, since
	// the entries that do not lead have no use for it: their mirrors would receive every write of it. Written by the
	// leader.
	ExpectationsKey = "pt-expectations"
	// jobPrefix is the key prefix of the planner.Record documents, one per workload. Written by entries.
	jobPrefix = Prefix + "job/"
	// progressPrefix is the key prefix of the planner.Progress documents, one per workload that the leader has processed.
	// Written by the leader.
	progressPrefix = Prefix + "progress/"
	// agentPrefix is the key prefix of the Member documents of agents. Each is written by its agent.
	agentPrefix = Prefix + "agent/"
	// entryPrefix is the key prefix of the Member documents of entries. Each is written by its entry.
	entryPrefix = Prefix + "entry/"
)

// JobKey returns the key of a workload's planner.Record.
func JobKey(id descriptor.JobID) string { return jobPrefix + string(id) }

// ProgressKey returns the key of a workload's planner.Progress.
func ProgressKey(id descriptor.JobID) string { return progressPrefix + string(id) }

// AgentKey returns the key of an agent's Member.
func AgentKey(node string) string { return agentPrefix + node }

// EntryKey returns the key of an entry's Member.
func EntryKey(node string) string { return entryPrefix + node }

// Kind is the type of a document, determined by its key.
type Kind int

const (
	// KindOther is the kind of any key outside the known prefixes.
	KindOther Kind = iota
	KindLeader
	KindJob
	KindProgress
	KindAgent
	KindEntry
)

// ParseKey returns the kind of the document stored under key, and the part of the key after the prefix of that kind.
// That part is empty for KindLeader and KindOther.
func ParseKey(key string) (Kind, string) {
	if key == LeaderKey {
		return KindLeader, ""
	}
	for _, p := range [...]struct {
		prefix string
		kind   Kind
	}{{jobPrefix, KindJob}, {progressPrefix, KindProgress}, {agentPrefix, KindAgent}, {entryPrefix, KindEntry}} {
		if name, ok := strings.CutPrefix(key, p.prefix); ok {
			return p.kind, name
		}
	}
	return KindOther, ""
}

// Member describes a process of the deployment: the name of its node and the address at which other processes call it.
type Member struct {
	Node    string
	Address string
}

// ErrMember means that a document does not describe the process that its key names.
var ErrMember = errors.New("invalid member document")

// DecodeMember decodes the Member in an item. It returns ErrMember if the item's key is for another node, or if the
// address is none that a process can be called at.
func DecodeMember(i Item) (Member, error) {
	var m Member
	if err := Decode(i.Value, &m); err != nil {
		return Member{}, fmt.Errorf("%w: %w", ErrMember, err)
	}
	if kind, node := ParseKey(i.Key); m.Node == "" || kind != KindLeader && node != m.Node {
		return Member{}, fmt.Errorf("%w: node %q under key %q", ErrMember, m.Node, i.Key)
	}
	if err := checkAddress(m.Address); err != nil {
		return Member{}, fmt.Errorf("%w: address %.100q: %w", ErrMember, m.Address, err)
	}
	return m, nil
}

// checkAddress returns an error unless address is a host and a port that can be called.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return errors.New("want a host and a port from 1 to 65535")
	}
	return nil
}

const (
	// compressedMarker is the first byte of a compressed document. No CBOR map or array begins with it.
	compressedMarker = 0x01
	// minCompressBytes is the smallest size at which documents are compressed. Compression pays off for the progress of
	// a step with many tasks, which repeats worker names and, at each change, is written to the store and sent to every
	// entry.
	minCompressBytes = 256
	// maxDocumentBytes bounds the decompressed size of a document.
	maxDocumentBytes = 16 << 20
)

var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		// NewWriter fails only for an invalid compression level.
		panic(err)
	}
	return w
}}

// Encode returns the stored form of a document: CBOR, compressed if it takes at least minCompressBytes.
func Encode(document any) []byte {
	data, err := encoder.Marshal(document)
	if err != nil {
		// Documents hold no types that CBOR cannot encode.
		panic(fmt.Sprintf("archiver: encode %T: %v", document, err))
	}
	if len(data) < minCompressBytes {
		return data
	}
	buffer := bytes.NewBuffer([]byte{compressedMarker})
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(buffer)
	if _, err := w.Write(data); err != nil {
		panic(fmt.Sprintf("archiver: compress %T: %v", document, err))
	}
	if err := w.Close(); err != nil {
		panic(fmt.Sprintf("archiver: compress %T: %v", document, err))
	}
	return buffer.Bytes()
}

// Decode parses the stored form of a document into the value that document points to.
func Decode(data []byte, document any) error {
	if len(data) > 0 && data[0] == compressedMarker {
		var err error
		if data, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxDocumentBytes)); err != nil {
			return fmt.Errorf("decode %T: %w", document, err)
		}
	}
	if err := encoder.Unmarshal(data, document); err != nil {
		return fmt.Errorf("decode %T: %w", document, err)
	}
	return nil
}

package discoveryserver

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Receipt is an answer with changes that a caller has received: its next call on the same connection named the version.
type Receipt struct {
	Endpoint string // address that was called
	Version  int64
	At       time.Time // when the answer was written
}

// receipts are the receipts of a server, and the answers that are not confirmed yet, by connection.
type receipts struct {
	pending   map[uint64]Receipt
	confirmed []Receipt
}

// RecordReceipts makes the server record what its callers have received. It must be called before the first call.
func (s *Server) RecordReceipts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receipts = &receipts{pending: map[uint64]Receipt{}}
}

// Receipts returns what callers have received so far.
func (s *Server) Receipts() []Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receipts == nil {
		return nil
	}
	return s.receipts.confirmed
}

// confirm records that a call names a version. The caller holds the server's lock.
func (r *receipts) confirm(ctx *fasthttp.RequestCtx, after int64) {
	if r == nil {
		return
	}
	if answer, ok := r.pending[ctx.ConnID()]; ok && after >= answer.Version {
		r.confirmed = append(r.confirmed, answer)
	}
	delete(r.pending, ctx.ConnID())
}

// answer records an answer up to a version to a call that named another one. The caller holds the server's lock.
func (r *receipts) answer(ctx *fasthttp.RequestCtx, after, version int64) {
	if r != nil && version > after {
		r.pending[ctx.ConnID()] = Receipt{Endpoint: ctx.LocalAddr().String(), Version: version, At: time.Now()}
	}
}

package retry

import "github.com/ThreeDotsLabs/watermill/message"

// HandleBorrow gives a keeper a question as its router does.
func HandleBorrow(p *Pool, m *message.Message) error { return p.handleBorrow(m) }

// HandleLoan gives a daemon an answer as its router does.
func HandleLoan(p *Pool, m *message.Message) error { return p.handleLoan(m) }

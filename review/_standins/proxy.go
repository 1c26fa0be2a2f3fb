package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards the connections of one controller to another one's address for controllers.
type proxy struct {
	address string
	target  string
	mu      sync.Mutex
	// delay returns by how much the data that a connection's client sends first is late.
	delay func(first []byte) time.Duration
}

func newProxy(target string) (*proxy, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *proxy) setDelay(delay func(first []byte) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

func (p *proxy) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	target, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	go func() {
		_, _ = io.Copy(c, target)
		_ = c.Close()
	}()
	buffer := make([]byte, 64<<10)
	first := true
	for {
		n, err := c.Read(buffer)
		if n > 0 {
			if first {
				first = false
				p.mu.Lock()
				delay := p.delay
				p.mu.Unlock()
				if delay != nil {
					time.Sleep(delay(buffer[:n]))
				}
			}
			if _, err := target.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

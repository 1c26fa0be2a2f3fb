package statestore

import (
	"net/http"

	"postpoint/internal/protocol"
)

// Walk reads all keys with a prefix after from, page by page, until page tells not to go on. done
// gets the status of the last answer, and the key after which reading has to go on if that isn't
// 200; it isn't called if page ended the walk.
func Walk(s Store, prefix, from string, page func(protocol.ItemList) (goOn bool), done func(status int, from string)) {
	s.List(prefix, from, func(r Reply[protocol.ItemList]) {
		if r.Status != http.StatusOK {
			done(r.Status, from)
			return
		}
		if !page(r.Value) {
			return
		}
		if n := len(r.Value.Items); r.Value.More && n > 0 {
			Walk(s, prefix, r.Value.Items[n-1].Key, page, done)
			return
		}
		done(r.Status, from)
	})
}

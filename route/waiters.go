package route

import (
	"container/list"

	"chutereach/config"
)

// waiters holds what waits, by class, and in turn among accounts within one. It
// is not safe for concurrent use.
type waiters[T any] struct {
	classes []turns[T]
	len     int
}

// turns is the accounts of one class that wait, the next in turn first.
type turns[T any] struct {
	order    *list.List // of *account[T]
	accounts map[string]*list.Element
}

// account is what one account has waiting, the oldest first.
type account[T any] struct {
	name  string
	items *list.List // of T
}

func newWaiters[T any]() *waiters[T] {
	w := &waiters[T]{classes: make([]turns[T], len(config.Classes))}
	for i := range w.classes {
		w.classes[i] = turns[T]{list.New(), map[string]*list.Element{}}
	}
	return w
}

// place is where an item waits.
type place struct {
	class   int
	account string
	item    *list.Element
}

// push puts an item behind its account's others.
func (w *waiters[T]) push(class config.Class, name string, item T) place {
	rank := max(class.Rank(), 0)
	t := &w.classes[rank]
	e := t.accounts[name]
	if e == nil {
		e = t.order.PushBack(&account[T]{name, list.New()})
		t.accounts[name] = e
	}
	w.len++
	return place{rank, name, e.Value.(*account[T]).items.PushBack(item)}
}

// pop takes out the next item, and moves its account to the end of its class.
func (w *waiters[T]) pop() (item T, found bool) {
	for rank := range w.classes {
		t := &w.classes[rank]
		e := t.order.Front()
		if e == nil {
			continue
		}
		a := e.Value.(*account[T])
		first := a.items.Front()
		item = first.Value.(T)
		w.remove(place{rank, a.name, first})
		if a.items.Len() > 0 {
			t.order.MoveToBack(e)
		}
		return item, true
	}
	return item, false
}

// remove takes out an item that is still there.
func (w *waiters[T]) remove(p place) {
	t := &w.classes[p.class]
	e := t.accounts[p.account]
	a := e.Value.(*account[T])
	a.items.Remove(p.item)
	w.len--
	if a.items.Len() == 0 {
		t.order.Remove(e)
		delete(t.accounts, p.account)
	}
}

// ahead returns how many items go before a new one of a class.
func (w *waiters[T]) ahead(class config.Class) int {
	n := 0
	for rank := range max(class.Rank(), 0) + 1 {
		for e := w.classes[rank].order.Front(); e != nil; e = e.Next() {
			n += e.Value.(*account[T]).items.Len()
		}
	}
	return n
}

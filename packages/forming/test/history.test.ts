/** What the order history concludes from orders to one head. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { OrderHistory } from '../src/history.js'
import { type Order } from '../src/index.js'

function order (kind: Order['kind'], difference: Partial<Order> = {}): Order {
  return { kind, node: 'head', address: 'head:1', replica: 'r', epoch: 1, loads: false, fence: 1, ...difference }
}

// The pattern: a planner that is short of processor time takes engines for unreachable and back by turns. It had the head leave, then join and
// open the replica again as its members were back, and as one seemed lost once more it dissolved the replica while the head opened.
test('a head that was ordered to join or open a replica again has not left it, whether that is answered yet or not', t => {
  for (const again of ['join', 'open'] as const) {
    const history = new OrderHistory(new ManualClock())
    const leave = order('leave')
    history.given(leave)
    history.answered(leave, 'taken')
    t.true(history.hasLeft('head', 'r'))
    history.given(order(again))
    t.false(history.hasLeft('head', 'r'), again)
    history.given(leave)
    history.answered(leave, 'taken')
    t.true(history.hasLeft('head', 'r'))
  }
})

test('an order to leave that is answered after the head was ordered to join again does not show that it has left', t => {
  const history = new OrderHistory(new ManualClock())
  const leave = order('leave')
  history.given(leave)
  history.given(order('join'))
  history.answered(leave, 'taken')
  t.false(history.hasLeft('head', 'r'))
})

test('orders of another replica or to another engine leave it as it is', t => {
  const history = new OrderHistory(new ManualClock())
  history.given(order('leave'))
  history.answered(order('leave'), 'refused')
  history.given(order('join', { replica: 's' }))
  history.given(order('open', { node: 'other' }))
  t.true(history.hasLeft('head', 'r'))
})

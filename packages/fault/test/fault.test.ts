/** What the message of a fault is made of. */
import test from 'ava'
import { Fault, kinds } from '../src/index.js'

test('a message is the detail and the remedy, that of the kind unless another is given', t => {
  t.is(new Fault('busy').message, kinds.busy.remedy)
  t.is(new Fault('busy', { detail: 'Full.' }).message, `Full. ${kinds.busy.remedy}`)
  t.is(new Fault('busy', { detail: 'Full.', remedy: 'Wait.' }).message, 'Full. Wait.')
})

test('a fault in doubt keeps its remedy and its Retry-After', t => {
  const { message, outcome, retryAfter } = new Fault('busy', { detail: 'Full.', remedy: 'Wait.', retryAfter: 3 }).doubted('It may have run.')
  t.is(message, 'Full. It may have run. Wait.')
  t.is(outcome, 'unknown')
  t.is(retryAfter, 3)
})

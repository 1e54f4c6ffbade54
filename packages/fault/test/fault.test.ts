/** The message of a fault, and its copy with the outcome `unknown`. */
import test from 'ava'
import { Fault, kinds } from '../src/index.js'

test('a message consists of the detail and the given remedy, or the remedy of the kind if none is given', t => {
  t.is(new Fault('busy').message, kinds.busy.remedy)
  t.is(new Fault('busy', { detail: 'Full.' }).message, `Full. ${kinds.busy.remedy}`)
  t.is(new Fault('busy', { detail: 'Full.', remedy: 'Wait.' }).message, 'Full. Wait.')
})

test('a fault whose outcome becomes unknown keeps its remedy and its Retry-After', t => {
  const { message, outcome, retryAfter } = new Fault('busy', { detail: 'Full.', remedy: 'Wait.', retryAfter: 3 }).withUnknownOutcome('It may have run.')
  t.is(message, 'Full. It may have run. Wait.')
  t.is(outcome, 'unknown')
  t.is(retryAfter, 3)
})

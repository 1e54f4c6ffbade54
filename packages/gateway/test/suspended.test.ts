/** A gateway whose machine was suspended: information from before the suspension does not count as recent. */
import { ManualClock } from '@eiderwind/clock'
import { Pauses } from '@eiderwind/detect'
import { type Context } from '@eiderwind/forward'
import { Outage, Roster, type Upstream } from '@eiderwind/roster'
import test from 'ava'
import { Callers, type CallersOptions } from '../src/callers.js'
import { recordConfirmation, gatewayBoard } from '../src/facts.js'

test('keys are served only with a confirmation that was requested after the suspension', t => {
  const clock = new ManualClock()
  const board = gatewayBoard()
  const callers = new Callers({ context: { clock } as unknown as Context, board, maxConfirmationAge: 3800, strictKeys: true } as unknown as CallersOptions)
  const requestedAt = clock.bootNow()
  clock.advance(1000)
  recordConfirmation(board, requestedAt)
  t.true(callers.servesKeys)
  clock.suspend(6000)
  t.is(clock.now(), 1000)
  t.false(callers.servesKeys)
  // The answer to a request from before the suspension arrives.
  recordConfirmation(board, requestedAt + 1000)
  t.false(callers.servesKeys)
  recordConfirmation(board, clock.bootNow())
  t.true(callers.servesKeys)
})

test('a suspension counts as a pause, so that silence during it is ignored', t => {
  const clock = new ManualClock()
  const paused: number[] = []
  const pauses = new Pauses(clock, time => { paused.push(time) })
  pauses.start()
  clock.advance(200)
  t.is(pauses.resumedAt, -Infinity)
  clock.suspend(5000)
  t.is(pauses.resumedAt, 200)
  clock.advance(200)
  t.deepEqual(paused, [5000])
  pauses.stop()
})

test('a suspension does not prolong the time for which an upstream that is missing after an outage is retained', t => {
  const clock = new ManualClock()
  const outage = new Outage(clock)
  const roster = new Roster(clock, outage)
  const upstream: Upstream = { id: 'a', service: 's', address: 'a:1', dataCentre: 'dc', leaving: false, loaded: [], staged: [] }
  roster.replace([upstream])
  for (let count = 0; count < 2; count++) {
    outage.recordFailure(clock.bootNow())
    clock.advance(1500)
  }
  outage.recordAnswer()
  clock.suspend(5000)
  roster.replace([])
  t.is(roster.find('a'), undefined)
})

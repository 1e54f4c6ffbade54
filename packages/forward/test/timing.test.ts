/** What makes an answer late: a table of requests by their times. */
import test from 'ava'
import { Timing, type Lateness } from '../src/timing.js'

/** The route's objectives, in ms. */
const route = { objective: 200, gap: 200 }

/** A request that arrives at 1,000 ms; what happens to it and when, in ms from then. */
function timing (...steps: Array<['sent' | 'passed', number]>): Timing {
  const made = new Timing(1000)
  for (const [what, at] of steps) made[what](1000 + at)
  return made
}

const cases: ReadonlyArray<{ readonly what: string, readonly of: Timing, readonly late: Lateness | undefined }> = [
  { what: 'in time', of: timing(['sent', 1], ['passed', 200], ['passed', 400]), late: undefined },
  { what: 'that was never passed on', of: timing(['sent', 1]), late: undefined },
  { what: 'that waited most of its time', of: timing(['sent', 150], ['passed', 260]), late: 'waiting' },
  { what: 'whose upstream was slow', of: timing(['sent', 100], ['passed', 260]), late: 'first' },
  { what: 'after an attempt that failed', of: timing(['sent', 1], ['sent', 150], ['passed', 260]), late: 'attempts' },
  { what: 'that paused at its upstream', of: timing(['sent', 1], ['passed', 100], ['passed', 301]), late: 'pause' },
  { what: 'that paused until it went on elsewhere', of: timing(['sent', 1], ['passed', 100], ['sent', 500], ['passed', 600]), late: 'resume' },
  { what: 'that paused after it had gone on elsewhere without one', of: timing(['sent', 1], ['passed', 100], ['sent', 110], ['passed', 200], ['passed', 500]), late: 'resume' }
]
for (const { what, of, late } of cases) test(`an answer ${what} is ${late === undefined ? 'not late' : `late by: ${late}`}`, t => t.is(of.lateness(route), late))

test('the times are told in ms from the arrival', t => {
  const { waited, first, pause } = timing(['sent', 20], ['passed', 90], ['passed', 150], ['passed', 160])
  t.deepEqual([waited, first, pause], [20, 90, 60])
})

test('what was expected of the first send is held against the first part, unless another attempt brought it', t => {
  const error = (...steps: Parameters<typeof timing>): number | undefined => {
    const made = timing(...steps)
    made.expect({ service: 's', model: 'm', time: 60, lag: 0, prompt: 700, inFlight: 3, unread: 0, limited: false, remote: false })
    return made.error
  }
  t.is(error(['sent', 20], ['passed', 90]), 10)
  t.is(error(['sent', 20], ['passed', 50], ['passed', 400]), -30)
  t.is(error(['sent', 20], ['sent', 60], ['passed', 90]), undefined)
  t.is(error(['sent', 20]), undefined)
  t.is(timing(['sent', 20], ['passed', 90]).error, undefined)
})

/** What made an answer late: a table of requests with their times. */
import test from 'ava'
import { Timing, type Lateness } from '../src/timing.js'

/** The route's objectives, in ms. */
const route = { objective: 200, gap: 200 }

/** The times of a request that arrives at 1,000 ms. The steps are in ms after that. */
function timing (...steps: Array<['sent' | 'passed', number]>): Timing {
  const made = new Timing(1000)
  for (const [what, at] of steps) made[what](1000 + at)
  return made
}

const cases: ReadonlyArray<{ readonly title: string, readonly of: Timing, readonly late: Lateness | undefined }> = [
  { title: 'in time', of: timing(['sent', 1], ['passed', 200], ['passed', 400]), late: undefined },
  { title: 'of which no part was forwarded', of: timing(['sent', 1]), late: undefined },
  { title: 'whose request waited most of the time', of: timing(['sent', 150], ['passed', 260]), late: 'waiting' },
  { title: 'whose upstream was slow', of: timing(['sent', 100], ['passed', 260]), late: 'first' },
  { title: 'after a failed attempt', of: timing(['sent', 1], ['sent', 150], ['passed', 260]), late: 'attempts' },
  { title: 'that paused at its upstream', of: timing(['sent', 1], ['passed', 100], ['passed', 301]), late: 'pause' },
  { title: 'that paused until it was resumed at another upstream', of: timing(['sent', 1], ['passed', 100], ['sent', 500], ['passed', 600]), late: 'resume' },
  { title: 'that was resumed at another upstream without a pause and paused there', of: timing(['sent', 1], ['passed', 100], ['sent', 110], ['passed', 200], ['passed', 500]), late: 'resume' }
]
for (const { title, of, late } of cases) test(`an answer ${title} is ${late === undefined ? 'not late' : `late because of: ${late}`}`, t => t.is(of.lateness(route), late))

test('wait, first part and longest pause are measured in ms; the first two start at the arrival', t => {
  const { waited, first, pause } = timing(['sent', 20], ['passed', 90], ['passed', 150], ['passed', 160])
  t.deepEqual([waited, first, pause], [20, 90, 60])
})

test('the forecast error is the time from sending to the first part minus the forecast, and undefined if a later attempt delivered that part', t => {
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

/** What unanswered probes prove: nothing while a sound process may still be silent. */
import test from 'ava'
import { Silences } from '../src/silences.js'

/** Records unanswered probes each 600 ms, each with a time-out of 280 ms, until `end`. */
function silentUntil (end: number, resumedAt: (sentAt: number) => number = () => -Infinity): Silences {
  const silences = new Silences()
  for (let sentAt = 0; sentAt + 280 <= end; sentAt += 600) silences.record('a', 'silent', { sentAt, endedAt: sentAt + 280, resumedAt: resumedAt(sentAt) })
  return silences
}

// Guards against a sound engine that is taken for dead because it was silent for a second or two.
test('silence is long only after more time than a sound process may be silent', t => {
  for (const [end, isLong] of [[300, false], [1000, false], [2500, false], [3300, true]] as const) t.is(silentUntil(end).isLong('a'), isLong, `${end}`)
})

test('an answer ends a silence', t => {
  const silences = silentUntil(4000)
  silences.record('a', 'answered', { sentAt: 4000, endedAt: 4010, resumedAt: -Infinity })
  t.deepEqual([silences.has('a'), silences.isLong('a'), silences.missed('a')], [false, false, 0])
})

test('silence from before a pause of this process does not count', t => {
  t.false(silentUntil(4000, sentAt => sentAt >= 2400 ? 2000 : -Infinity).isLong('a'))
})

test('two refused connections in a row show that no process listens, and one does not', t => {
  const silences = new Silences()
  const record = (result: 'refused' | 'silent', sentAt: number): void => silences.record('a', result, { sentAt, endedAt: sentAt + 1, resumedAt: -Infinity })
  record('refused', 0)
  t.false(silences.hasRefused('a'))
  record('silent', 100)
  record('refused', 200)
  t.false(silences.hasRefused('a'))
  record('refused', 300)
  t.true(silences.hasRefused('a'))
})

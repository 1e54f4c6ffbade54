/**
 * Whether an upstream that has closed a connection has ended, by its port. Guards against a crashed upstream that passes
 * for a living one because the path to it is silent for a second, and against the reverse.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Crashes } from '../src/index.js'

type State = 'listening' | 'refused' | 'unknown'

/** Time that a connection attempt without an answer takes, in ms. */
const probeTime = 350

/** Asks whether an upstream has ended. Its port gives these answers, and the last one to all later attempts. */
async function hasEnded (states: readonly State[]): Promise<{ readonly ended: boolean, readonly took: number, readonly probes: number }> {
  const clock = new ManualClock()
  let probes = 0
  const probe = async (): Promise<State> => {
    const state = states[Math.min(probes++, states.length - 1)]
    if (state === 'unknown') await clock.wait(probeTime)
    return state
  }
  const ignore = (): void => {}
  const crashes = new Crashes({ clock, hasEnded: () => false, probe, otherTrials: () => [], announce: ignore, changed: ignore, crashed: ignore, blockChanged: ignore })
  const answers: boolean[] = []
  crashes.hasEnded({ id: 'i-1', address: '10.0.0.1:80' }).then(result => answers.push(result), ignore)
  for (let time = 0; answers.length === 0 && time < 10_000; time++) {
    for (let turn = 0; turn < 5; turn++) await undefined
    if (answers.length === 0) clock.advance(1)
  }
  return { ended: answers[0], took: clock.now(), probes }
}

test('an upstream whose port answers is judged at once', async t => {
  t.deepEqual(await hasEnded(['listening']), { ended: false, took: 5, probes: 1 })
  t.deepEqual(await hasEnded(['refused']), { ended: true, took: 5, probes: 1 })
})

test('an upstream whose port is silent for a second is judged by its first answer', async t => {
  t.true((await hasEnded(['unknown', 'unknown', 'unknown', 'refused'])).ended)
  t.false((await hasEnded(['unknown', 'unknown', 'unknown', 'listening'])).ended)
})

test('an upstream that stays silent does not count as ended, and is probed a few times only', async t => {
  const { ended, probes, took } = await hasEnded(['unknown'])
  t.false(ended)
  t.true(probes <= 6 && took < 2500)
})

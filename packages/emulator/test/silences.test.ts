/**
 * A silence of a sound engine ends nothing that its replica serves, whatever else happens. The schedules are random, by
 * seed; `npm run schedules -- FIRST COUNT silences` runs more of them.
 */
import test from 'ava'
import { faultsOf } from './silencereport.js'
import { runSilenceSchedule } from './silences.js'
import { playDeath } from './silenceplays.js'

/** Seeds of the schedules, in parts so that a failure names its part. */
const seedsPerTest = 50

for (const first of [1, 51, 101]) {
  // Guards against this failure: an engine that was silent for a second counted as lost, and the planner ended the
  // streams of its sound replica.
  test.serial(`a silence of a sound engine ends no stream of its replica (schedules ${first} to ${first + seedsPerTest - 1})`, async t => {
    for (let seed = first; seed < first + seedsPerTest; seed++) t.deepEqual(faultsOf(await runSilenceSchedule(seed)), [], `seed ${seed}`)
  })
}

/**
 * Time from a real death until the replica is closed, in ms. A refused connection proves it at once; the end of a
 * member's machine is known after a silence that is longer than a sound one, that of a head once its entry is gone.
 */
const maxCloseTime = 5000
const maxRefusedTime = 1500
const maxSilentTime = 3500

/** Time from a real death until the streams that may go on elsewhere leave, in ms. */
const maxStreamTime = 1000

for (const part of ['head', 'member'] as const) {
  for (const how of ['process', 'machine'] as const) {
    // Guards against this failure: a planner that waits for proof leaves a replica with a dead engine as it is.
    test.serial(`a replica whose ${part} really dies is closed, and its streams go on elsewhere (${how})`, async t => {
      const bound = part === 'head' ? maxCloseTime : how === 'process' ? maxRefusedTime : maxSilentTime
      for (let seed = 1; seed <= 6; seed++) {
        for (const { closed, streams } of await playDeath(seed, part, how)) {
          t.true(closed !== undefined && closed <= bound, `seed ${seed}: closed after ${closed} ms`)
          t.deepEqual(streams.filter(each => each.resumable && each.after > maxStreamTime), [], `seed ${seed}`)
        }
      }
    })
  }
}

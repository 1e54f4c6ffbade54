/**
 * A silence of a sound engine ends nothing that its replica serves, whatever else happens. The schedules are random, by
 * seed; `npm run schedules -- FIRST COUNT silences` runs more of them.
 */
import test from 'ava'
import { faultsOf } from './silencereport.js'
import { runSilenceSchedule } from './silences.js'

/** Seeds of the schedules, in parts so that a failure names its part. */
const seedsPerTest = 50

for (const first of [1, 51, 101]) {
  // Guards against this failure: an engine that was silent for a second counted as lost, and the planner ended the
  // streams of its sound replica.
  test.serial(`a silence of a sound engine ends no stream of its replica (schedules ${first} to ${first + seedsPerTest - 1})`, async t => {
    for (let seed = first; seed < first + seedsPerTest; seed++) t.deepEqual(faultsOf(await runSilenceSchedule(seed)), [], `seed ${seed}`)
  })
}

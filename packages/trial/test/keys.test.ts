/** The keys by which a fleet is found to take callers' requests. */
import test from 'ava'
import { readKey, slotCount } from '@eiderwind/run'
import { keysOfEachSlot } from '../src/index.js'

test('there is one key of each slot, so that no home is left out', t => {
  for (let draw = 0; draw < 50; draw++) {
    const slots = keysOfEachSlot().map(key => readKey(key).unwrap().slot)
    t.deepEqual(slots.sort((a, b) => a - b), Array.from({ length: slotCount }, (_each, slot) => slot))
  }
})

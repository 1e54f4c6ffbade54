/** The keys that a fleet uses to check whether all homes accept new keys. */
import test from 'ava'
import { readKey, slotCount } from '@eiderwind/run'
import { keysOfEachSlot } from '../src/index.js'

test('the keys cover each slot exactly once', t => {
  for (let draw = 0; draw < 50; draw++) {
    const slots = keysOfEachSlot().map(key => readKey(key).unwrap().slot)
    t.deepEqual(slots.sort((a, b) => a - b), Array.from({ length: slotCount }, (_each, slot) => slot))
  }
})

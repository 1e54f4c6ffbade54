/** Which bodies find room, and when they free it. */
import test from 'ava'
import { Bodies } from '../src/bodies.js'

const kib = 1024

/** Bodies with room for 100 KiB in all. */
function bodies (): Bodies {
  return new Bodies(100 * kib)
}

// Guards against: a burst of long requests takes a gateway above its memory, and the platform ends it (FAULT, LOST).
test('bodies find room up to the bound, and again when others are released', t => {
  const all = bodies()
  const [first, second, third] = [all.open(), all.open(), all.open()]
  t.true(first.take(60 * kib))
  t.true(second.take(40 * kib))
  t.false(third.fits(20 * kib))
  t.false(third.take(20 * kib))
  t.is(all.held, 100 * kib)
  t.is(all.refused, 2)
  second.release()
  t.true(third.fits(20 * kib))
  t.true(third.take(20 * kib))
  t.is(all.held, 80 * kib)
})

test('a body that grows is refused when its next piece finds no room', t => {
  const all = bodies()
  const [first, second] = [all.open(), all.open()]
  t.true(first.take(60 * kib))
  t.true(second.take(30 * kib))
  t.false(second.take(20 * kib))
  second.release()
  t.is(all.held, 60 * kib)
})

test('a small body always finds room', t => {
  const all = bodies()
  t.true(all.open().take(100 * kib))
  const small = all.open()
  t.true(small.take(10 * kib))
  t.true(small.take(6 * kib))
  t.false(small.take(1))
})

test('a body alone finds room, whatever its length', t => {
  const all = bodies()
  const body = all.open()
  t.true(body.fits(400 * kib))
  t.true(body.take(200 * kib))
  t.true(body.take(200 * kib))
  body.release()
  t.is(all.held, 0)
})

test('a second release frees nothing', t => {
  const all = bodies()
  const body = all.open()
  t.true(body.take(50 * kib))
  t.true(all.open().take(20 * kib))
  body.release()
  body.release()
  t.is(all.held, 20 * kib)
})

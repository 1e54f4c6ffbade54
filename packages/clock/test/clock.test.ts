import test from 'ava'
import { ManualClock, SystemClock, seeded } from '../src/index.js'
import { ViewClock } from './view.js'

test('a manual clock runs due timers in order, and no cancelled timer', t => {
  const clock = new ManualClock()
  const ran: string[] = []
  clock.after(20, () => ran.push('b'))
  clock.after(10, () => ran.push('a'))
  clock.after(15, () => ran.push('never')).cancel()
  const each = clock.every(8, () => ran.push('each'))
  clock.advance(20)
  each.cancel()
  clock.advance(100)
  t.deepEqual(ran, ['each', 'a', 'each', 'b'])
})

test('a suspension of the machine counts in bootNow and wall, but not in now', t => {
  const clock = new ManualClock(1000)
  clock.suspend(500)
  t.deepEqual([clock.now(), clock.bootNow(), clock.wall()], [0, 500, 1500])
})

test('bootNow of the system clock is at least now, and never goes back', t => {
  const clock = new SystemClock()
  let last = clock.bootNow()
  for (let index = 0; index < 10_000; index++) {
    const now = clock.now()
    const bootNow = clock.bootNow()
    t.true(bootNow >= now && bootNow >= last)
    last = bootNow
  }
})

test('timers that become due while a process is paused run when it resumes', t => {
  const clock = new ManualClock()
  const view = new ViewClock(clock, 1.01, 50)
  const ran: number[] = []
  view.after(10, () => ran.push(clock.now()))
  view.pause()
  clock.advance(40)
  t.deepEqual(ran, [])
  view.resume()
  t.deepEqual(ran, [40])
  t.is(view.wall(), 90)
})

test('a seeded random source gives the same numbers on every run', t => {
  const [a, b] = [seeded(7), seeded(7)]
  const first = Array.from({ length: 100 }, a)
  t.deepEqual(first, Array.from({ length: 100 }, b))
  t.true(first.every(each => each >= 0 && each < 1))
})

test('the first numbers of neighbouring seeds fall on both sides of 0.5', t => {
  const firsts = Array.from({ length: 100 }, (_each, index) => seeded(index)())
  t.true(firsts.filter(each => each < 0.5).length > 30)
  t.true(firsts.filter(each => each >= 0.5).length > 30)
})

/** Costs of requests and times of first events, computed from the parameters of an engine. */
import test from 'ava'
import { Forecast, RunningMedian, Unread, expectedFirstEventTime, requestTokens, workOf } from '../src/index.js'

const engine = { slots: 40, step: 8, stepPerRequest: 0.1, readRate: 50_000, prompt: 1000, answer: 100 }

test('tokens are those that the caller names, up to its maximum, and the means of the service if it names none', t => {
  const table: ReadonlyArray<readonly [string | undefined, string | undefined, number, number]> = [
    ['1460,80', '50', 1460, 50],
    ['1460,80', '500', 1460, 80],
    ['1460,80', undefined, 1460, 80],
    ['1460,800', undefined, 1460, 100],
    [' 1460 , 800 ', ' 120 ', 1460, 120],
    [undefined, '50', 1000, 50],
    [undefined, undefined, 1000, 100],
    ['0,0', '0', 0, 0],
    ...['', 'x', '1460', '1460;80', '-5,80', '1e9,5', '1.5,2', '99999999999,1'].map(usage => [usage, 'some', 1000, 100] as const)
  ]
  for (const [usage, hint, prompt, answer] of table) t.deepEqual(requestTokens(usage, hint, engine), { prompt, answer }, `${usage} ${hint}`)
})

test('work is counted in mean requests', t => {
  t.is(workOf(engine, engine), 1)
  t.is(workOf({ prompt: 2000, answer: 200 }, engine), 2)
  t.is(workOf({ prompt: 0, answer: 0 }, engine), 0)
  // 20 ms of reading, compared with 30 ms of writing.
  t.is(workOf({ prompt: 1000, answer: 0 }, engine), 0.4)
  t.is(workOf({ prompt: 6000, answer: 100 }, engine), 3)
})

test('without means in the configuration each request counts as one', t => {
  t.is(workOf({ prompt: 6000, answer: 100 }, { ...engine, prompt: 0, answer: 0 }), 1)
})

test('the first event comes after the wait for a slot, the reading of all prompts ahead and its own, and one step', t => {
  const table: ReadonlyArray<readonly [string, number, number, number, number, number]> = [
    ['an empty head', 1000, 0, 0, 1, 20 + 8.1],
    ['prompts before', 1000, 4, 3000, 1, 80 + 8.5],
    ['a longer prompt', 5000, 4, 3000, 1, 160 + 8.5],
    ['the last slot', 0, 39, 0, 1, 12],
    ['one waits for a slot: each 30 ms one of 40 ends', 0, 40, 0, 1, 30 + 12],
    ['four wait', 0, 43, 0, 1, 120 + 12],
    ['a slow model', 1000, 4, 3000, 2, 177]
  ]
  for (const [what, prompt, inFlight, unread, pace, time] of table) t.is(Number(expectedFirstEventTime(prompt, { inFlight, unread }, engine, pace).toFixed(6)), Number(time.toFixed(6)), what)
})

test('more requests or unread tokens ahead of a request never make its first event earlier', t => {
  for (let inFlight = 0; inFlight < 60; inFlight++) {
    const time = (more: number, unread: number): number => expectedFirstEventTime(700, { inFlight: inFlight + more, unread }, engine, 1)
    t.true(time(1, 0) >= time(0, 0))
    t.true(time(0, 100) > time(0, 0))
  }
})

test('a prompt counts as unread until the returned function is called, and a second call subtracts nothing', t => {
  const unread = new Unread()
  const first = unread.add('a', 1000)
  const second = unread.add('a', 500)
  unread.add('b', 7)
  t.is(unread.of('a'), 1500)
  first()
  first()
  t.is(unread.of('a'), 500)
  second()
  t.is(unread.of('a'), 0)
  t.is(unread.of('b'), 7)
  t.is(unread.of('c'), 0)
})

test('a running median settles at the median of its series, and single outliers hardly move it', t => {
  const median = new RunningMedian()
  t.is(median.value, 0)
  for (let each = 0; each < 400; each++) median.add(130 + each * 7 % 21)
  t.true(Math.abs(median.value - 140) < 6, `${median.value}`)
  const settled = median.value
  for (let each = 0; each < 3; each++) median.add(5000)
  t.true(median.value - settled <= 6)
})

test('forecasts are corrected by the measured first events of their model at this gateway', t => {
  const forecast = new Forecast()
  const served = { ...engine, models: [{ name: 'm', size: 1, share: 1, pace: 2, load: 0, warm: 0 }], loadRate: 1, loadsAtOnce: 1, formTime: 0 }
  const subject = { service: 's', model: 'm', prompt: 1000 }
  const idle = { inFlight: 0, unread: 0 }
  const computed = expectedFirstEventTime(1000, idle, served, 2)
  t.deepEqual(forecast.expect(subject, idle, served), { time: computed, lag: 0 })
  for (let each = 0; each < 40; each++) {
    const { time, lag } = forecast.expect(subject, idle, served)
    forecast.learn({ ...subject, lag }, computed + 140 - time)
  }
  const { time, lag } = forecast.expect(subject, idle, served)
  t.true(Math.abs(lag - 140) < 2, `${lag}`)
  t.is(time, computed + lag)
  t.is(forecast.expect({ ...subject, model: 'other' }, idle, served).lag, 0)
})

test('many forecasts that were made before the first event came are each corrected from their own lag', t => {
  const forecast = new Forecast()
  const early = { service: 's', model: 'm', lag: 0 }
  for (let each = 0; each < 50; each++) forecast.learn(early, 140)
  t.true(Math.abs(forecast.expect({ ...early, prompt: 0 }, { inFlight: 0, unread: 0 }, { ...engine, models: [], loadRate: 1, loadsAtOnce: 1, formTime: 0 }).lag - 140) < 2)
})

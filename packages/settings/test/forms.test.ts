/** The sections and keys of the settings of a gateway (role `direct`), as operators write them, and their defaults. */
import test from 'ava'
import { checkSettings } from '../src/index.js'

const text = [
  '[process]', 'id = entry-1', 'data_centre = dc-1', 'region = region-1', 'first = true',
  '[listen]', 'callers = 10.0.0.1:8080', 'health = 10.0.0.1:8081', 'peers = 10.0.0.1:7340',
  '[platform]', 'store = 10.0.9.1:8223',
  '[bounds]', 'revoke = 5000 ms', 'strict_keys = false', 'drain = 4000 ms', 'evacuate = 5 s', 'grace = 8 s', 'pulse = 1200 ms', 'retry_ratio = 0.2', 'retry_slack = 160', 'retry_window = 10 s', 'cold_overshoot = 1.5', 'cold_slack = 5',
  '[room]', 'fair = true', 'shared = true',
  '[unread]', 'caller = 128 KiB', 'total = 16 MiB', 'patience = 5 s',
  '[overload]', 'wait = 200 ms', 'bodies = 48 MiB',
  '[readiness]', 'lateness = 30 ms', 'memory = 350 MiB', 'descriptors = 4100',
  '[planner]', 'keep_unlisted = 8 s', 'warm_spares = true',
  '[observe]', 'level = debug', 'metrics = 10.0.0.1:7341'
].join('\n')

test('every key is read under its name', t => {
  t.deepEqual(checkSettings('x.ini', text, 'direct').unwrap(), {
    role: 'direct',
    direct: {
      process: { id: 'entry-1', data_centre: 'dc-1', region: 'region-1', first: true },
      listen: { callers: '10.0.0.1:8080', health: '10.0.0.1:8081', peers: '10.0.0.1:7340' },
      platform: { store: '10.0.9.1:8223' },
      bounds: { revoke: 5000, strict_keys: false, drain: 4000, evacuate: 5000, grace: 8000, pulse: 1200, retry_ratio: 0.2, retry_slack: 160, retry_window: 10_000, cold_overshoot: 1.5, cold_slack: 5 },
      room: { fair: true, shared: true },
      unread: { caller: 131_072, total: 16_777_216, patience: 5000 },
      overload: { wait: 200, bodies: 50_331_648 },
      readiness: { lateness: 30, memory: 367_001_600, descriptors: 4100 },
      planner: { keep_unlisted: 8000, warm_spares: true },
      observe: { level: 'debug', metrics: '10.0.0.1:7341' }
    }
  })
})

test('a key that is missing or empty has its default', t => {
  const short = text.split('\n').filter(each => !/^(first|revoke|strict_keys|drain|evacuate|grace|pulse|retry_|cold_|fair|shared|keep_unlisted|warm_spares|caller =|total|patience|wait|bodies|lateness|memory|descriptors|level|metrics)/.test(each)).join('\n')
  const settings = checkSettings('x.ini', short.replace('[bounds]', '[bounds]\nrevoke =\nstrict_keys =\ndrain =\nevacuate =\ngrace =\npulse =\nretry_ratio =\nretry_slack =\nretry_window =\ncold_overshoot =\ncold_slack =').replace('[planner]', '[planner]\nkeep_unlisted =').replace('[readiness]', '[readiness]\nlateness = ms\nmemory = MiB\ndescriptors =').replace('[observe]', '[observe]\nmetrics =')).unwrap() as { direct: object }
  t.like(settings.direct, {
    process: { first: false },
    bounds: { revoke: 5000, strict_keys: true, drain: 2000, evacuate: undefined, grace: 8000, pulse: 1200, retry_ratio: 0.1, retry_slack: 20, retry_window: 10_000, cold_overshoot: undefined, cold_slack: undefined },
    room: { fair: false, shared: false },
    unread: { caller: 32_768, total: 33_554_432, patience: 10_000 },
    overload: { wait: undefined, bodies: 67_108_864 },
    readiness: { lateness: undefined, memory: undefined, descriptors: undefined },
    planner: { keep_unlisted: 0, warm_spares: false },
    observe: { level: 'info', metrics: '' }
  })
})

test('a bound on evacuations that is empty or only a unit is undefined, and other text is refused', t => {
  for (const empty of ['evacuate =', 'evacuate =  ms', 'evacuate = ms', 'evacuate = s']) {
    const settings = checkSettings('x.ini', text.replace('evacuate = 5 s', empty), 'direct').unwrap() as { direct: { bounds: { evacuate?: number } } }
    t.is(settings.direct.bounds.evacuate, undefined, empty)
  }
  t.true(checkSettings('x.ini', text.replace('evacuate = 5 s', 'evacuate = soon'), 'direct').isErr())
})

test('limits on the resources of a gateway that are not numbers, or have an unknown unit, are refused', t => {
  for (const key of ['wait = long', 'lateness = soon', 'memory = much', 'memory = 350 MB', 'descriptors = many', 'descriptors = 1.5']) {
    const [name] = key.split(' ')
    t.true(checkSettings('x.ini', text.replace(new RegExp(`^${name} = .*$`, 'm'), key), 'direct').isErr(), key)
  }
})

test('an amount of memory is a whole number with a known unit or none; other amounts are refused', t => {
  const given = (amount: string): ReturnType<typeof checkSettings> => checkSettings('x.ini', text.replace('caller = 128 KiB', `caller = ${amount}`), 'direct')
  for (const [amount, bytes] of [['100', 100], ['100 B', 100], ['64KiB', 65_536], ['2 MiB', 2_097_152]] as const) {
    t.is((given(amount).unwrap() as { direct: { unread: { caller: number } } }).direct.unread.caller, bytes, amount)
  }
  for (const amount of ['', 'some', '1.5 MiB', '-1', '64 KB', '64 kib']) t.true(given(amount).isErr(), amount)
})

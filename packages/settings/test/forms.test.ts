/** The sections and keys of the settings of an entry that calls its upstreams directly, as operators write them. */
import test from 'ava'
import { checkSettings } from '../src/index.js'

const text = [
  '[process]', 'id = entry-1', 'data_centre = dc-1', 'region = region-1', 'first = true',
  '[listen]', 'callers = 10.0.0.1:8080', 'health = 10.0.0.1:8081', 'peers = 10.0.0.1:7340',
  '[platform]', 'store = 10.0.9.1:8223',
  '[bounds]', 'revoke = 5000 ms', 'strict_keys = false', 'drain = 4000 ms', 'evacuate = 5 s', 'grace = 8 s', 'pulse = 1200 ms', 'retry_ratio = 0.2', 'retry_slack = 160', 'retry_window = 10 s', 'cold_overshoot = 1.5', 'cold_slack = 5',
  '[room]', 'fair = true', 'shared = true',
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
      planner: { keep_unlisted: 8000, warm_spares: true },
      observe: { level: 'debug', metrics: '10.0.0.1:7341' }
    }
  })
})

test('what is left out or empty has its default', t => {
  const short = text.split('\n').filter(each => !/^(first|revoke|strict_keys|drain|evacuate|grace|pulse|retry_|cold_|fair|shared|keep_unlisted|warm_spares|level|metrics)/.test(each)).join('\n')
  const settings = checkSettings('x.ini', short.replace('[bounds]', '[bounds]\nrevoke =\nstrict_keys =\ndrain =\nevacuate =\ngrace =\npulse =\nretry_ratio =\nretry_slack =\nretry_window =\ncold_overshoot =\ncold_slack =').replace('[planner]', '[planner]\nkeep_unlisted =').replace('[observe]', '[observe]\nmetrics =')).unwrap() as { direct: object }
  t.like(settings.direct, {
    process: { first: false },
    bounds: { revoke: 5000, strict_keys: true, drain: 2000, evacuate: undefined, grace: 8000, pulse: 1200, retry_ratio: 0.1, retry_slack: 20, retry_window: 10_000, cold_overshoot: undefined, cold_slack: undefined },
    room: { fair: false, shared: false },
    planner: { keep_unlisted: 0, warm_spares: false },
    observe: { level: 'info', metrics: '' }
  })
})

test('a bound on evacuations of which only the unit was filled in is none', t => {
  for (const empty of ['evacuate =', 'evacuate =  ms', 'evacuate = ms', 'evacuate = s']) {
    const settings = checkSettings('x.ini', text.replace('evacuate = 5 s', empty), 'direct').unwrap() as { direct: { bounds: { evacuate?: number } } }
    t.is(settings.direct.bounds.evacuate, undefined, empty)
  }
  t.true(checkSettings('x.ini', text.replace('evacuate = 5 s', 'evacuate = soon'), 'direct').isErr())
})

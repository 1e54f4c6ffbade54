/**
 * Many gateways that share replica heads, each with the real `Choice` and the heartbeats of the others four times a
 * second. The load is that of a large fleet: 35 gateways and 48 heads of 20 slots, with 300 requests a second that take
 * 1.8 to 3 s. This is three quarters of the capacity of the heads.
 */
import test from 'ava'
import { ManualClock, seeded } from '@eiderwind/clock'
import { InFlight, Rests, Suspects } from '@eiderwind/detect'
import { Choice, Availability } from '@eiderwind/dispatch'
import { Peers, type Heartbeat } from '@eiderwind/peers'
import { Roster, type Upstream } from '@eiderwind/roster'
import { type Engine } from '@eiderwind/traffic'
import { ModelDatagrams, Network } from './network.js'

const engine: Engine = { slots: 20, models: [], step: 8, stepPerRequest: 0.1, readRate: 45_000, prompt: 900, answer: 130, loadRate: 3, loadsAtOnce: 6, formTime: 300 }

const gateways = 35
const heads = 48
/** Requests a second. */
const arrivalRate = 300
/** Length of a run, in ms. */
const span = 8000
/** Time at the beginning whose requests do not count, in ms. */
const warmUp = 3000

function head (index: number): Upstream {
  return { id: `h${index}`, service: 's', address: `h${index}:1`, dataCentre: 'dc', leaving: false, loaded: ['m'], staged: [], membership: { replica: `r${index}`, epoch: 1, rank: 0, state: 'open' } }
}

/** Returns the share of the requests that are sent to a head without a free slot. */
async function shareSentToFullHeads (seed: number): Promise<number> {
  const clock = new ManualClock()
  const random = seeded(seed)
  const network = new Network(random)
  const roster = new Roster(clock)
  roster.replace(Array.from({ length: heads }, (_each, index) => head(index)))
  const list = Array.from({ length: gateways }, (_each, index) => ({ id: `g${index}`, address: `g${index}:1` }))
  const all = list.map(({ id, address }) => {
    const inFlight = new InFlight(clock, () => {})
    const heartbeat = (): Heartbeat => ({ id, revision: 1, canPlan: false, inFlight: inFlight.counts, suspects: [], offeredByModel: {}, served: true, loads: {} })
    const peers = new Peers({ clock, id, address, datagrams: new ModelDatagrams(network, address), heartbeat, interval: 250, timeout: 1000 })
    const choice = new Choice({ roster, inFlight, peers, suspects: new Suspects(clock, roster), availability: new Availability({ clock, rests: new Rests({ clock, begun: () => {}, ended: () => {} }) }), dataCentre: 'dc', random })
    return { inFlight, peers, choice }
  })
  for (const { peers } of all) {
    peers.setAddresses(list)
    await peers.start()
    clock.advance(250 / gateways)
  }
  const load = new Map<string, number>()
  let sent = 0
  let full = 0
  const arrive = (): void => {
    const { inFlight, choice } = all[Math.floor(random() * gateways)]
    const chosen = choice.head('s', 'm', engine, new Set())?.id
    if (chosen === undefined) return
    const before = load.get(chosen) ?? 0
    load.set(chosen, before + 1)
    if (clock.now() > warmUp) {
      sent++
      if (before >= engine.slots) full++
    }
    const request = inFlight.begin(chosen, 'm')
    const duration = 3000 * (0.6 + 0.4 * before / engine.slots) * (0.3 + 1.4 * random())
    clock.after(duration, () => {
      inFlight.end(request)
      load.set(chosen, (load.get(chosen) ?? 1) - 1)
    })
  }
  while (clock.now() < span) {
    clock.advance(-Math.log(1 - random()) / arrivalRate * 1000)
    arrive()
  }
  return full / sent
}

test('gateways with heartbeats four times a second do not all send to the head that appears least loaded', async t => {
  for (const seed of [1, 2, 3]) {
    const share = await shareSentToFullHeads(seed)
    t.true(share < 0.03, String(share))
  }
})

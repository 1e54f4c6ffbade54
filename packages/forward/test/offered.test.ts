/**
 * Which refused requests count as offered load. Heartbeats carry the names of the counted models, and callers may send
 * arbitrary names.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { InFlight, Rests } from '@eiderwind/detect'
import { Availability, OfferedLoad, Queue } from '@eiderwind/dispatch'
import { type Engine } from '@eiderwind/traffic'
import { StreamPath, type Context } from '../src/index.js'
import { callerRequest } from './requests.js'

const engine = { slots: 4, models: [{ name: 'known', size: 2, share: 1, pace: 1, load: 1, warm: 1 }], step: 5, stepPerRequest: 0.1, readRate: 1000, prompt: 10, answer: 10, loadRate: 1, loadsAtOnce: 1, formTime: 1 } satisfies Engine

/** The offered load by model, after a request for `model` was refused because no head serves it. */
async function offeredModels (model: string): Promise<Record<string, number>> {
  const clock = new ManualClock()
  const offered = new OfferedLoad(clock, { models: () => ({}), rate: () => 0 })
  const context = {
    clock,
    offered,
    availability: new Availability({ clock, rests: new Rests({ clock, begun: () => {}, ended: () => {} }) }),
    queue: new Queue(clock),
    inFlight: new InFlight(clock, () => {}),
    crashes: { standing: () => 'trusted', underTrial: new Set<string>(), wasCrashedByOthers: () => false },
    roster: { heads: () => [] },
    choice: { head: () => undefined },
    names: { request: 'id' },
    random: () => 0
  } as unknown as Context
  await new StreamPath(context, callerRequest(clock, { kind: 'stream', resumable: true }), { model, engine }).serve()
  return offered.models
}

test('a refused request for a configured model is counted', async t => {
  t.deepEqual(await offeredModels('known'), { known: 1 })
})

test('a refused request for a model that is not configured is not counted', async t => {
  t.deepEqual(await offeredModels('invented'), {})
})

/** Engine settings and emulated engines for the tests. */
import { type ManualClock } from '@eiderwind/clock'
import { type Engine } from '@eiderwind/traffic'
import { EmulatedEngines, type EngineService } from '../src/index.js'

export { MemoryPlacements } from '@eiderwind/forming'
export { advance, createPlanner, type Violation } from '../src/index.js'

/** Settings with two models, one of four nodes and one of two. */
export const engine: Engine = {
  slots: 24,
  models: [
    { name: 'large', size: 4, share: 0.5, pace: 1, load: 1600, warm: 400 },
    { name: 'small', size: 2, share: 0.5, pace: 0.6, load: 1200, warm: 300 }
  ],
  step: 8,
  stepPerRequest: 0.1,
  readRate: 45_000,
  prompt: 900,
  answer: 130,
  loadRate: 3,
  loadsAtOnce: 6,
  formTime: 300
}

export const service: EngineService = { name: 'chat', connections: 400, engine }

/** Emulated engines of `service`. */
export class World extends EmulatedEngines {
  constructor (clock: ManualClock) {
    super(clock, service)
  }
}

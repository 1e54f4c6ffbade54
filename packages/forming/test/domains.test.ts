/** A placement that can't be read is reported, once for each time that the store is away. */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Err, type Result } from 'ts-results-es'
import { Domains } from '../src/domains.js'
import { type Placement } from '../src/index.js'
import { MemoryPlacements, World, service } from './world.js'

/** Placements whose store can be away. */
class AwayPlacements extends MemoryPlacements {
  away = true

  override async read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>> {
    return this.away ? Err('no answer') : await super.read(domain)
  }
}

test('a placement that can\'t be read is reported once, until one is read again', async t => {
  const world = new World(new ManualClock())
  world.add('n0', 'd0')
  const placements = new AwayPlacements()
  const reported: string[] = []
  const domains = new Domains({ roster: world.roster, placements, failed: error => { reported.push(error.message) } })
  t.is(await domains.read(service), undefined)
  t.is(await domains.read(service), undefined)
  t.deepEqual(reported, ['The placement of chat.d0 can\'t be read, so its service is not planned: no answer'])
  placements.away = false
  t.deepEqual((await domains.read(service))?.map(each => each.key), ['chat.d0'])
  domains.forget(service.name)
  placements.away = true
  t.is(await domains.read(service), undefined)
  t.is(reported.length, 2)
})

/**
 * A placement that can't be read is reported once per outage of the store, and does not stop the planning of other
 * domains.
 */
import test from 'ava'
import { ManualClock } from '@eiderwind/clock'
import { Err, type Result } from 'ts-results-es'
import { Roster, type Upstream } from '@eiderwind/roster'
import { type Service } from '@eiderwind/traffic'
import { Domains } from '../src/domains.js'
import { MemoryPlacements, type Placement } from '../src/index.js'

const service: Service = { name: 'chat', connections: 400 }

/** A roster with one engine in each domain. */
function rosterOf (domains: readonly string[]): Roster {
  const roster = new Roster(new ManualClock())
  const engine = (domain: string): Upstream => ({ id: `n-${domain}`, service: service.name, address: `n-${domain}:1`, dataCentre: 'dc', leaving: false, domain, loaded: [], staged: [] })
  roster.replace(domains.map(engine))
  return roster
}

/** Placements in a store that can be unavailable. */
class UnavailablePlacements extends MemoryPlacements {
  isUnavailable = true

  override async read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>> {
    return this.isUnavailable ? Err('no answer') : await super.read(domain)
  }
}

test('a placement that can\'t be read is reported once, and again only after a successful read', async t => {
  const roster = rosterOf(['d0'])
  const placements = new UnavailablePlacements()
  const reported: string[] = []
  const domains = new Domains({ roster, placements, failed: error => { reported.push(error.message) } })
  t.deepEqual(await domains.read(service), [])
  t.deepEqual(await domains.read(service), [])
  t.deepEqual(reported, ['The placement of chat.d0 can\'t be read, so its domain is not planned: no answer'])
  placements.isUnavailable = false
  t.deepEqual((await domains.read(service))?.map(each => each.key), ['chat.d0'])
  domains.forget(service.name)
  placements.isUnavailable = true
  t.deepEqual(await domains.read(service), [])
  t.is(reported.length, 2)
})

test('a placement that can\'t be read blocks only its own domain', async t => {
  const roster = rosterOf(['d0', 'd1', 'd2'])
  class OneUnreadable extends MemoryPlacements {
    override async read (domain: string): Promise<Result<{ readonly placement: Placement, readonly version: number }, string>> {
      return domain === 'chat.d1' ? Err('no answer') : await super.read(domain)
    }
  }
  const domains = new Domains({ roster, placements: new OneUnreadable(), failed: () => {} })
  t.deepEqual((await domains.read(service)).map(each => each.key), ['chat.d0', 'chat.d2'])
})

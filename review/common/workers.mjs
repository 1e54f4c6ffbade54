/** The records that the stand-ins of workers share in one case, and the start of workers with the pages' heartbeats. */
import { EngineWorker, PlainWorker } from '../../platform/dist/test/standins/worker.js'
import { heartbeatMs } from './site.mjs'

/** The longest body that an engine's stand-in repeats in each event. */
const maxRepeated = 1000

/** An engine that names the length of a long body in its events, in place of the body. */
class Engine extends EngineWorker {
  async serve (request, response, body) {
    const isControl = request.url === '/report' || request.url === '/order'
    await super.serve(request, response, isControl || body.length <= maxRepeated ? body : `${body.length} bytes`)
  }
}

/** What the workers' stand-ins need of a site. */
export class WorkerSite {
  runs = []
  arrivals = []
  violations = []
  workers = new Map()
  reportsBirth = false
  proxied

  constructor (store, { proxied = false } = {}) {
    this.store = store
    this.proxied = proxied
  }

  crashesOn = () => false
  streamForm = () => ({ unframed: false })
  onCrash = () => {}

  async addPlain (zone = 'zone-1') {
    const worker = new PlainWorker(this, 'plain', zone)
    await worker.start(heartbeatMs)
    return worker
  }

  async addEngine (models, zone = 'zone-1') {
    const worker = new Engine(this, 'chat', zone, models)
    await worker.start(heartbeatMs)
    return worker
  }

  /** The heads that serve, with the members of their groups. */
  serving () {
    return [...this.workers.values()].filter(each => each.openMembers !== undefined).map(head => ({ head, members: head.openMembers }))
  }

  stop () {
    for (const each of [...this.workers.values()]) each.kill()
  }
}

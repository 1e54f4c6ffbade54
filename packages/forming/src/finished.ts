/**
 * Decides how long a replica is kept that has finished its requests. An answer without a length ends with its
 * connection, as it does if its head cuts it. The gateway that receives the end then asks the head, which shows the
 * difference only while it is still in the replica. Owns since when gateways wait for the last answers of each head.
 * Relies on the gateways' counts of requests at the head.
 */
import { type Clock } from '@eiderwind/clock'
import { type Upstream } from '@eiderwind/roster'
import { type PlannedReplica } from './placement.js'

/** How long a replica is kept for its last answers, in ms: two heartbeats of the gateways, and the time for a report. */
const maxWait = 1000

/** The heads whose last answers are still being received. */
export class FinishedHeads {
  readonly #clock: Clock
  readonly #awaitsAnswers: (head: Upstream) => boolean
  /** On `Clock.now`, by service, then by head and replica. */
  readonly #since = new Map<string, ReadonlyMap<string, number>>()

  /** @param awaitsAnswers whether a gateway may still receive an answer of a head */
  constructor (clock: Clock, awaitsAnswers: (head: Upstream) => boolean) {
    this.#clock = clock
    this.#awaitsAnswers = awaitsAnswers
  }

  /** Ids of the heads of a service that must stay in their replicas for now. */
  awaited (service: string, replicas: readonly PlannedReplica[], find: (id: string) => Upstream | undefined): ReadonlySet<string> {
    const now = this.#clock.now()
    const before = this.#since.get(service)
    const since = new Map<string, number>()
    const awaited = new Set<string>()
    for (const replica of replicas) {
      const head = find(replica.members[0].id)
      if (head === undefined || !hasClosed(head, replica) || !this.#awaitsAnswers(head)) continue
      const key = `${head.id} ${replica.name}`
      const waitedSince = before?.get(key) ?? now
      since.set(key, waitedSince)
      if (now - waitedSince < maxWait) awaited.add(head.id)
    }
    this.#since.set(service, since)
    return awaited
  }
}

/** Whether a head lists its replica, and does not serve it. */
function hasClosed ({ membership }: Upstream, { name, epoch }: PlannedReplica): boolean {
  return membership?.replica === name && membership.epoch === epoch && membership.state === 'ready'
}

/** The actual state of one domain, for look-ups while a step is planned. Owns nothing; pure over `DomainFacts`. */
import { type Membership, type Upstream } from '@eiderwind/roster'
import { type DomainFacts } from './facts.js'
import { isStaying } from './engines.js'
import { type PlannedReplica } from './placement.js'

/** The engines and replicas of a domain as they are listed, judged by the facts. */
export class Snapshot {
  readonly facts: DomainFacts
  readonly #upstreams: ReadonlyMap<string, Upstream>

  constructor (facts: DomainFacts) {
    this.facts = facts
    this.#upstreams = new Map(facts.upstreams.map(each => [each.id, each]))
  }

  find (id: string): Upstream | undefined {
    return this.#upstreams.get(id)
  }

  /** Whether an engine can't be counted on: it is neither listed nor kept, leaves, or is unreachable. */
  isMissing (id: string): boolean {
    const upstream = this.find(id)
    return upstream === undefined || !isStaying(upstream, this.facts.unreachable)
  }

  /** Whether an engine is not listed, and is kept since it answers: gateways send it no requests. */
  isUnlisted (id: string): boolean {
    return this.facts.unlisted.has(id)
  }

  /** Whether an engine leaves as announced and still answers. */
  isLeaving (id: string): boolean {
    return this.find(id)?.leaving === true && !this.facts.unreachable.has(id)
  }

  /** Whether an engine says that it is in a replica, under the planned epoch. */
  isIn (replica: PlannedReplica, id: string): boolean {
    const membership = this.find(id)?.membership
    return membership?.replica === replica.name && membership.epoch === replica.epoch
  }

  /** The state of a replica as its head says; undefined where the head is not listed or not in the replica. */
  headState (replica: PlannedReplica): Membership['state'] | undefined {
    const { id } = replica.members[0]
    return this.isIn(replica, id) ? this.find(id)?.membership?.state : undefined
  }

  /** The members of a replica that can be counted on. */
  staying ({ members }: PlannedReplica): Upstream[] {
    return members.filter(({ id }) => !this.isMissing(id)).map(({ id }) => this.find(id) as Upstream)
  }

  isIntact ({ members }: PlannedReplica): boolean {
    return members.every(({ id }) => !this.isMissing(id))
  }

  isServing (replica: PlannedReplica): boolean {
    return this.headState(replica) === 'open' && this.isIntact(replica)
  }

  /** Whether an engine may enter another replica: the head of its present one is not seen to serve. */
  isMovable ({ membership }: Upstream): boolean {
    if (membership === undefined) return true
    const { replica, epoch } = membership
    const shown = this.facts.upstreams.flatMap(each => each.membership ?? [])
    const head = shown.find(each => each.replica === replica && each.epoch === epoch && each.rank === 0)
    return head?.state !== 'open' && head?.state !== 'closing'
  }

  /** Intact replicas of a model in all domains. */
  intact (model: string): number {
    return this.facts.intact[model] ?? 0
  }

  /** How much a model needs one more replica. */
  need (model: string): number {
    return this.facts.needs[model] ?? 0
  }
}

/** Look-ups in the actual state of one domain while a step is planned. Pure over `DomainFacts`; owns no state. */
import { type Membership, type Upstream } from '@eiderwind/roster'
import { type DomainFacts } from './facts.js'
import { isStaying } from './engines.js'
import { type PlannedReplica } from './placement.js'

/** The engines and replicas of a domain, as the facts show them. The engines are listed or retained. */
export class Snapshot {
  readonly facts: DomainFacts
  readonly #upstreams: ReadonlyMap<string, Upstream>
  /** Evacuated engines of replicas that also have members elsewhere. These members continue to serve without them. */
  readonly #withdrawn: ReadonlySet<string>

  constructor (facts: DomainFacts) {
    this.facts = facts
    this.#upstreams = new Map(facts.upstreams.map(each => [each.id, each]))
    const partly = facts.evacuated.size === 0 ? [] : facts.placement.replicas.filter(each => !this.isEvacuated(each))
    this.#withdrawn = new Set(partly.flatMap(({ members }) => members.map(({ id }) => id)).filter(id => facts.evacuated.has(id)))
  }

  find (id: string): Upstream | undefined {
    return this.#upstreams.get(id)
  }

  /**
   * Whether an engine is unavailable for a new replica: it is neither listed nor retained, is leaving, is unreachable,
   * or is evacuated while other members of its replica are not.
   */
  isMissing (id: string): boolean {
    return this.#isUnavailable(id, this.facts.unreachable)
  }

  /** Whether an engine certainly ends what it serves. An engine that is only silent may be sound. */
  isLost (id: string): boolean {
    return this.#isUnavailable(id, this.facts.lost)
  }

  #isUnavailable (id: string, unreachable: ReadonlySet<string>): boolean {
    const upstream = this.find(id)
    return upstream === undefined || !isStaying(upstream, unreachable) || this.#withdrawn.has(id)
  }

  /**
   * Ids of the members that a replica lacks. A silent member is missing from a replica that forms, which ends nothing.
   * It is missing from one that may serve only if it is lost.
   */
  missingFrom (replica: PlannedReplica): string[] {
    const state = this.headState(replica)
    const mayServe = state !== undefined && state !== 'joining'
    return replica.members.map(({ id }) => id).filter(id => mayServe ? this.isLost(id) : this.isMissing(id))
  }

  /** Whether all members of a replica have answered lately. */
  isCertain ({ members }: PlannedReplica): boolean {
    return !members.some(({ id }) => this.facts.unreachable.has(id))
  }

  /** Whether an engine is not listed but retained because it answers. Gateways send it no requests. */
  isUnlisted (id: string): boolean {
    return this.facts.unlisted.has(id)
  }

  /**
   * Whether an engine still answers and will stop serving soon: it leaves as announced, or is evacuated while other
   * members of its replica are not.
   */
  isLeaving (id: string): boolean {
    const leaves = this.find(id)?.leaving === true || this.#withdrawn.has(id)
    return leaves && !this.facts.lost.has(id)
  }

  /**
   * Whether all members of a replica are evacuated. Such a replica stays unchanged: idle, and ready for the end of the
   * evacuation.
   */
  isEvacuated ({ members }: PlannedReplica): boolean {
    return members.every(({ id }) => this.facts.evacuated.has(id))
  }

  /**
   * Whether an engine reports that it is in a replica, with the planned epoch and rank. A report by another engine at
   * the same address does not count.
   */
  isIn (replica: PlannedReplica, id: string): boolean {
    const membership = this.find(id)?.membership
    return membership?.replica === replica.name && membership.epoch === replica.epoch && replica.members[membership.rank]?.id === id
  }

  /**
   * The state of a replica that its head reports. Undefined if the head is neither listed nor retained, or not in the
   * replica.
   */
  headState (replica: PlannedReplica): Membership['state'] | undefined {
    const { id } = replica.members[0]
    return this.isIn(replica, id) ? this.find(id)?.membership?.state : undefined
  }

  /** The members of a replica that are available. */
  staying (replica: PlannedReplica): Upstream[] {
    const missing = new Set(this.missingFrom(replica))
    return replica.members.filter(({ id }) => !missing.has(id)).map(({ id }) => this.find(id) as Upstream)
  }

  isIntact (replica: PlannedReplica): boolean {
    return this.missingFrom(replica).length === 0
  }

  isServing (replica: PlannedReplica): boolean {
    return this.headState(replica) === 'open' && this.isIntact(replica) && !this.isEvacuated(replica)
  }

  /** Whether an engine may enter another replica: the head of its present one is not seen to serve. */
  isMovable (upstream: Upstream): boolean {
    const state = this.reportedHeadState(upstream)
    return state !== 'open' && state !== 'closing'
  }

  /**
   * The state of an engine's present replica that its head reports. Undefined if the engine is in no replica, or if its
   * head is neither listed nor retained, or no longer in the replica.
   */
  reportedHeadState ({ membership }: Upstream): Membership['state'] | undefined {
    if (membership === undefined) return undefined
    const { replica, epoch } = membership
    const memberships = this.facts.upstreams.flatMap(each => each.membership ?? [])
    return memberships.find(each => each.replica === replica && each.epoch === epoch && each.rank === 0)?.state
  }

  /** Intact replicas of a model in all domains, without evacuated ones. */
  intact (model: string): number {
    return this.facts.intact[model] ?? 0
  }

  /** How much a model needs one more replica. */
  need (model: string): number {
    return this.facts.needs[model] ?? 0
  }
}

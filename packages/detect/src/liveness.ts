/**
 * Decides which engines are unreachable and which heads are dead. The difference matters: an unreachable engine is only
 * not used; the members of a dead head are free for other replicas, so a head must not be called dead while it may
 * still serve. The README draws the states and what moves an engine between them.
 * Owns what is known of each engine in doubt; all of it is found out again after a restart. Relies on `Probes`, on the
 * suspicions of all gateways, and on the reconciler to report the answers to its orders to close.
 */
import { type Clock } from '@eiderwind/clock'
import { type Roster } from '@eiderwind/roster'
import { type NodeAddress, type Probes } from './probes.js'

/** The nodes of a replica that was decided on, the head first. */
export interface ReplicaNodes {
  readonly members: readonly NodeAddress[]
}

/** Dependencies of `Liveness`. Spans are in ms. */
export interface LivenessOptions {
  readonly clock: Clock
  readonly roster: Roster
  readonly probes: Probes
  /** Ids of the heads that any gateway suspects. */
  readonly suspects: () => ReadonlySet<string>
  /** Time between two heartbeats of an upstream. */
  readonly heartbeatInterval: number
  /** Whether an engine that is not listed is kept all the same, and probed for that. */
  readonly isKept: (id: string) => boolean
  /** When this process last ran on after a pause of its own, on `Clock.now`. */
  readonly resumedAt: () => number
  /** Called when an answer may have changed what is known of an engine. */
  readonly changed: () => void
  /** Called with an error that nothing else handles. */
  readonly failed: (error: unknown) => void
}

/** Time between two probes of one engine, in ms: twice the time-out of a probe (280 ms), rounded up. */
const probeInterval = 600

/**
 * Orders to close in a row without an answer after which an unlisted head that answers no probe either is dead, in orders. Orders
 * alone do not show it: an engine may leave a third of them unanswered for a while and serve on.
 */
const unansweredLimit = 2

/**
 * Probes in a row that an engine may leave unanswered before it counts as unreachable, unless the gateways agree that its replica has
 * stalled. A single lost packet delays a new connection by a second, far beyond the time-out of a probe.
 */
const missedProbes = 2

/**
 * Heartbeat intervals after which a heartbeat count that has not risen has stopped: one interval, and 0.4 of one for the
 * store's delay and our own reading.
 */
const missedIntervals = 1.4

/**
 * Readings of a heartbeat count within the time after which it has stopped, beside the first: each is a call of the store, which is paid
 * for. A head that dies has written its last heartbeat before its silence is noticed, so the first and the last reading decide; one
 * between them costs less time where a heartbeat came late.
 */
const readings = 2

/** Readings of one heartbeat count. */
interface HeartbeatReading {
  readonly count: number | undefined
  /** When it was first read with this count, on `Clock.now`; Infinity before the first answer. */
  readonly since: number
  /** When it was last asked for. */
  readonly askedAt: number
}

/** Probes engines in doubt and declares heads dead. */
export class Liveness {
  readonly #options: LivenessOptions
  readonly #unreachable = new Set<string>()
  readonly #dead = new Set<string>()
  /** Heads that were found dead while they were not listed. One that is listed again has only left the replica that it led then. */
  readonly #deadUnlisted = new Set<string>()
  /** Orders to close in a row that a head left unanswered, by its id. */
  readonly #unanswered = new Map<string, number>()
  readonly #heartbeats = new Map<string, HeartbeatReading>()
  readonly #probedAt = new Map<string, number>()
  /** Probes in a row that an engine has left unanswered. */
  readonly #missed = new Map<string, number>()

  constructor (options: LivenessOptions) {
    this.#options = options
  }

  /** Ids of engines that did not answer their last probe. */
  get unreachable (): ReadonlySet<string> {
    return this.#unreachable
  }

  /** Ids of heads that certainly no longer serve. */
  get dead (): ReadonlySet<string> {
    return new Set([...this.#dead, ...this.#deadUnlisted])
  }

  /** Probes the members in doubt of the given replicas, and decides which of their heads are dead. */
  check (replicas: readonly ReplicaNodes[]): void {
    const suspects = this.#options.suspects()
    for (const id of this.#deadUnlisted) if (this.#options.roster.find(id) !== undefined) this.#deadUnlisted.delete(id)
    this.#probeDoubtful(replicas, suspects)
    for (const { members: [{ id }] } of replicas) this.#judge(id, suspects)
  }

  /** Records whether a head answered an order to close. */
  closeAnswered (head: string, answered: boolean): void {
    this.#unanswered.set(head, answered ? 0 : (this.#unanswered.get(head) ?? 0) + 1)
  }

  /** Records that a head has left its replica, or that nothing listens there any more. One that is not listed either is dead. */
  left (head: string): void {
    if (this.#options.roster.find(head) === undefined) this.#deadUnlisted.add(head)
  }

  /** Records that an engine which is not listed left probes unanswered, so many in a row. */
  foundSilent (id: string, missed: number): void {
    if (missed > 0) this.#missed.set(id, missed)
    if (missed >= missedProbes) this.#unreachable.add(id)
  }

  /** Forgets engines that are in none of the given replicas and that the roster no longer remembers. */
  forget (replicas: readonly ReplicaNodes[]): void {
    const { roster } = this.#options
    const placed = new Set(replicas.flatMap(({ members }) => members.map(({ id }) => id)))
    for (const known of [this.#unreachable, this.#dead, this.#deadUnlisted, this.#unanswered, this.#heartbeats, this.#probedAt, this.#missed]) {
      for (const id of known.keys()) {
        if (!placed.has(id) && roster.find(id) === undefined && roster.departure(id) === undefined) known.delete(id)
      }
    }
  }

  /** All members of a replica with a suspected head or an unreachable member, and engines unreachable or lapsed themselves. */
  #probeDoubtful (replicas: readonly ReplicaNodes[], suspects: ReadonlySet<string>): void {
    const { roster, isKept } = this.#options
    const isAbsent = (id: string): boolean => roster.find(id) === undefined && !isKept(id)
    for (const { members } of replicas) {
      const stalled = suspects.has(members[0].id)
      const doubtful = stalled || members.some(({ id }) => this.#unreachable.has(id) || this.#missed.has(id) || isAbsent(id))
      if (doubtful) for (const each of members) if (stalled || !isKept(each.id)) this.#probe(each, stalled)
    }
    for (const id of [...this.#unreachable, ...roster.lapsed]) {
      const address = roster.find(id)?.address
      if (address !== undefined) this.#probe({ id, address }, false)
    }
  }

  /** @param stalled whether the gateways agree that the engine's replica has stalled */
  #probe ({ id, address }: NodeAddress, stalled: boolean): void {
    const { clock, probes, resumedAt, changed, failed } = this.#options
    const probedAt = clock.now()
    if (probedAt - (this.#probedAt.get(id) ?? -Infinity) < probeInterval) return
    this.#probedAt.set(id, probedAt)
    probes.isReachable(address).then(reachable => {
      // A time-out that ran out during a pause of this process says nothing about the engine.
      if (reachable || resumedAt() < probedAt) this.#probed(id, reachable, stalled)
      changed()
    }).catch(failed)
  }

  #probed (id: string, reachable: boolean, stalled: boolean): void {
    if (reachable) {
      this.#unreachable.delete(id)
      this.#missed.delete(id)
      return
    }
    const missed = (this.#missed.get(id) ?? 0) + 1
    this.#missed.set(id, missed)
    if (stalled || missed >= missedProbes) this.#unreachable.add(id)
    // It is asked again at the next check.
    else this.#probedAt.delete(id)
  }

  #judge (head: string, suspects: ReadonlySet<string>): void {
    const unanswered = this.#unanswered.get(head) ?? 0
    const unreachable = this.#unreachable.has(head)
    if (this.#options.roster.hasEnded(head)) this.#dead.add(head)
    else if (unanswered === 0 && !unreachable && !suspects.has(head)) this.#heartbeats.delete(head)
    else if (this.#options.roster.find(head) !== undefined) this.#readHeartbeat(head)
    else if (unanswered >= unansweredLimit && unreachable) this.#deadUnlisted.add(head)
  }

  /** Reads the heartbeat count of a listed head, from the first suspicion on, and declares it dead where that has stopped too. */
  #readHeartbeat (head: string): void {
    const { clock, probes, changed, failed } = this.#options
    const known = this.#heartbeats.get(head)
    const askedAt = clock.now()
    if (known !== undefined && askedAt - known.askedAt < missedIntervals * this.#options.heartbeatInterval / readings) return
    // One that answers its probes and orders is read once, since it may fall silent; the replica it leads is closed meanwhile.
    if (known !== undefined && !this.#unreachable.has(head) && (this.#unanswered.get(head) ?? 0) === 0) return
    this.#heartbeats.set(head, { count: known?.count, since: known?.since ?? Infinity, askedAt })
    probes.heartbeatOf(head).then(count => {
      const since = count !== undefined && count === known?.count ? Math.min(known.since, askedAt) : clock.now()
      this.#heartbeats.set(head, { count, since, askedAt })
      if (count !== undefined && this.#stopped(since) && this.#isSilent(head)) this.#dead.add(head)
      changed()
    }).catch(failed)
  }

  #stopped (since: number): boolean {
    const { clock, heartbeatInterval } = this.#options
    return clock.now() - since >= missedIntervals * heartbeatInterval
  }

  /** Whether a head answers neither probes nor orders. */
  #isSilent (head: string): boolean {
    return this.#unreachable.has(head) && (this.#unanswered.get(head) ?? 0) > 0
  }
}

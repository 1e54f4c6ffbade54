/**
 * Decides which engines are unreachable, which are lost, and which heads are dead. An unreachable engine has not
 * answered lately: it is put into no new replica until it answers again, and nothing that it serves is ended. An engine
 * is lost once it is proven that it cannot go on: its replica is then closed. The members of a dead head are free for
 * other replicas, so a head must not be declared dead while it may still serve. The README draws the states of an engine
 * and the transitions between them.
 *
 * An engine is probed if the head of its replica is suspected, if it missed its last probe, or if its entry is missing.
 * Owns what is known of each such engine, in memory only: all of it is found out again after a restart. Relies on
 * `Silences` for what the probes prove, on `IndirectSilences` for what other gateways have found out, on `Probes`, on the
 * suspicions of all gateways, and on the reconciler to report the answers to its orders to close.
 */
import { type Clock } from '@eiderwind/clock'
import { type Roster } from '@eiderwind/roster'
import { IndirectSilences, type IndirectProbes } from './indirect.js'
import { type NodeAddress, type ProbeResult, type Probes } from './probes.js'
import { Silences } from './silences.js'

/** The nodes of a planned replica, the head first. */
export interface ReplicaNodes {
  readonly members: readonly NodeAddress[]
}

/** Dependencies of `Liveness`. Times are in ms. */
export interface LivenessOptions {
  readonly clock: Clock
  readonly roster: Roster
  readonly probes: Probes
  /** Asks other gateways about engines that do not answer this one. */
  readonly indirectProbes: IndirectProbes
  /** Ids of the heads that a majority of the concerned gateways suspects (`agreement.ts`). */
  readonly suspects: () => ReadonlySet<string>
  /** Time between two heartbeats of an upstream. */
  readonly heartbeatInterval: number
  /** Whether an engine is retained although it is not listed. `Unlisted` probes such an engine. */
  readonly isRetained: (id: string) => boolean
  /** When this process last resumed after a pause of its own, on `Clock.now`. */
  readonly resumedAt: () => number
  /** Called when a probe or a reading has ended and may have changed what is known of an engine. */
  readonly changed: () => void
  /** Called with an error that nothing else handles. */
  readonly failed: (error: unknown) => void
}

/** Time between two probes of an engine that answers, in ms: twice the time-out of a probe (280 ms), rounded up. */
const probeInterval = 600

/** Time between two probes of an engine that is silent, in ms: the time-out, rounded up. */
const silentProbeInterval = 300

/**
 * Consecutive unanswered orders to close after which an unlisted head is dead if it answers no probe either. Unanswered
 * orders alone do not show it: an engine may leave a third of them unanswered for a while and still serve.
 */
const unansweredLimit = 2

/**
 * Consecutive missed probes after which an engine counts as unreachable. One is enough if the gateways agree that its
 * replica has stalled. A single lost packet delays a new connection by a second, far beyond the time-out of a probe.
 */
const missedProbesLimit = 2

/**
 * Heartbeat intervals after which an unchanged heartbeat count has stopped: one interval, plus 0.4 of one for the delay
 * of the store and of the reading here.
 */
const stoppedIntervals = 1.4

/**
 * Number of readings of a heartbeat count, after the first one, within the time after which an unchanged count has
 * stopped. Each reading is a paid call to the store. A head that dies has written its last heartbeat before its silence
 * is noticed, so the first and the last reading decide. A reading between them saves time if a heartbeat came late.
 */
const readingsPerTimeout = 2

/** The newest reading of a heartbeat count. */
interface HeartbeatReading {
  readonly count: number | undefined
  /** When the count was first read with this value, on `Clock.now`. Infinity before the first answer. */
  readonly since: number
  /** When the count was last requested, on `Clock.now`. */
  readonly requestedAt: number
  /** Whether the last reading showed that the count has stopped. */
  readonly hasStopped: boolean
}

/** Probes engines in doubt and declares heads dead. */
export class Liveness {
  readonly #options: LivenessOptions
  readonly #unreachable = new Set<string>()
  readonly #lost = new Set<string>()
  readonly #dead = new Set<string>()
  /**
   * Heads that were declared dead while they were not listed. A head that is listed again has not died: it only left
   * the replica that it led.
   */
  readonly #deadUnlisted = new Set<string>()
  /** Consecutive orders to close that a head left unanswered, by head id. */
  readonly #unanswered = new Map<string, number>()
  readonly #heartbeats = new Map<string, HeartbeatReading>()
  readonly #probedAt = new Map<string, number>()
  readonly #silences = new Silences()
  readonly #indirect: IndirectSilences
  /** Since when heads have been suspected by most gateways without a break, on `Clock.now`. */
  readonly #suspectedSince = new Map<string, number>()

  constructor (options: LivenessOptions) {
    this.#options = options
    this.#indirect = new IndirectSilences({ ...options, probes: options.indirectProbes })
  }

  /** Ids of the engines that left their last probes unanswered. */
  get unreachable (): ReadonlySet<string> {
    return this.#unreachable
  }

  /**
   * Ids of the engines that certainly cannot go on: no process listens at their addresses, or they have been silent for
   * longer than a sound process may be, to this gateway and to the others that were asked, while most gateways suspect
   * the head of their replica.
   */
  get lost (): ReadonlySet<string> {
    return this.#lost
  }

  /** Ids of the unreachable engines that may be sound: their silence proves nothing yet. */
  get doubtful (): ReadonlySet<string> {
    return new Set([...this.#unreachable].filter(id => !this.#lost.has(id) && !this.#silences.isLong(id)))
  }

  /** Ids of heads that certainly no longer serve. */
  get dead (): ReadonlySet<string> {
    return new Set([...this.#dead, ...this.#deadUnlisted])
  }

  /** Probes those members of the given replicas that are in doubt, and decides which of their heads are dead. */
  check (replicas: readonly ReplicaNodes[]): void {
    const suspects = this.#options.suspects()
    for (const id of this.#deadUnlisted) if (this.#options.roster.find(id) !== undefined) this.#deadUnlisted.delete(id)
    this.#recordSuspicions(suspects)
    this.#probeDoubtful(replicas, suspects)
    this.#checkLost(replicas, suspects)
    for (const { members: [{ id }] } of replicas) this.#checkHead(id, suspects)
  }

  /** What speaks against an engine, as text for the log. Undefined if nothing does. */
  evidenceAgainst (id: string): string | undefined {
    const unanswered = this.#unanswered.get(id) ?? 0
    const notes = [
      ...this.#dead.has(id) || this.#deadUnlisted.has(id) ? ['dead'] : [],
      ...this.#options.roster.find(id) === undefined ? ['not listed'] : [],
      ...[this.#silences.describe(id) ?? []].flat(),
      ...[this.#indirect.describe(id) ?? []].flat(),
      ...unanswered > 0 ? [`${unanswered} orders unanswered`] : [],
      ...this.#options.suspects().has(id) ? ['suspected by most gateways'] : []
    ]
    return notes.length === 0 ? undefined : `${id} ${notes.join(', ')}`
  }

  /** Records whether a head answered an order to close. */
  recordCloseAnswer (head: string, answered: boolean): void {
    this.#unanswered.set(head, answered ? 0 : (this.#unanswered.get(head) ?? 0) + 1)
  }

  /**
   * Records that a head has left its replica, or that nothing listens at its address any more. If the head is not
   * listed either, it is dead.
   */
  recordLeft (head: string): void {
    if (this.#options.roster.find(head) === undefined) this.#deadUnlisted.add(head)
  }

  /** Records that an unlisted engine left `missed` consecutive probes unanswered. */
  recordSilence (id: string, missed: number): void {
    if (missed > 0) this.#silences.recordMissed(id, missed, this.#options.clock.now())
    if (missed >= missedProbesLimit) this.#unreachable.add(id)
  }

  /** Forgets engines that are in none of the given replicas and that the roster no longer knows. */
  forget (replicas: readonly ReplicaNodes[]): void {
    const { roster } = this.#options
    const placed = new Set(replicas.flatMap(({ members }) => members.map(({ id }) => id)))
    const isForgotten = (id: string): boolean => !placed.has(id) && roster.find(id) === undefined && roster.departure(id) === undefined
    for (const known of [this.#unreachable, this.#lost, this.#dead, this.#deadUnlisted, this.#unanswered, this.#heartbeats, this.#probedAt]) {
      for (const id of known.keys()) if (isForgotten(id)) known.delete(id)
    }
    for (const known of [this.#silences, this.#indirect]) for (const id of [...known.ids]) if (isForgotten(id)) known.forget(id)
  }

  /**
   * Probes all members of a replica whose head is suspected or that has a member in doubt. Also probes single engines
   * that are unreachable or whose entries have lapsed.
   */
  #probeDoubtful (replicas: readonly ReplicaNodes[], suspects: ReadonlySet<string>): void {
    const { roster, isRetained } = this.#options
    const isAbsent = (id: string): boolean => roster.find(id) === undefined && !isRetained(id)
    for (const { members } of replicas) {
      const stalled = suspects.has(members[0].id)
      const doubtful = stalled || members.some(({ id }) => this.#unreachable.has(id) || this.#silences.has(id) || isAbsent(id))
      if (doubtful) for (const each of members) if (stalled || !isRetained(each.id)) this.#probe(each, stalled)
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
    const interval = this.#silences.has(id) ? silentProbeInterval : probeInterval
    if (probedAt - (this.#probedAt.get(id) ?? -Infinity) < interval) return
    this.#probedAt.set(id, probedAt)
    probes.probe(address).then(result => {
      // A time-out that elapsed during a pause of this process says nothing about the engine.
      if (result !== 'silent' || resumedAt() < probedAt) this.#recordProbe({ id, address }, result, { probedAt, stalled })
      changed()
    }).catch(failed)
  }

  #recordProbe (node: NodeAddress, result: ProbeResult, { probedAt, stalled }: { probedAt: number, stalled: boolean }): void {
    const { id } = node
    const { clock, resumedAt } = this.#options
    this.#silences.record(id, result, { sentAt: probedAt, endedAt: clock.now(), resumedAt: resumedAt() })
    if (result === 'answered') {
      this.#unreachable.delete(id)
      this.#lost.delete(id)
      this.#indirect.forget(id)
      return
    }
    if (stalled || this.#silences.missed(id) >= missedProbesLimit) this.#unreachable.add(id)
    if (result === 'silent' && this.#unreachable.has(id)) this.#indirect.ask(node)
    // The next check probes it again: a packet may have been lost, or a second refusal is needed.
    const needsSecondRefusal = result === 'refused' && !this.#silences.hasRefused(id)
    if (!this.#unreachable.has(id) || needsSecondRefusal) this.#probedAt.delete(id)
  }

  #recordSuspicions (suspects: ReadonlySet<string>): void {
    for (const id of this.#suspectedSince.keys()) if (!suspects.has(id)) this.#suspectedSince.delete(id)
    for (const id of suspects) if (!this.#suspectedSince.has(id)) this.#suspectedSince.set(id, this.#options.clock.now())
  }

  /** Finds the members that are proven to be lost, and those of which a head shows otherwise because it sends again. */
  #checkLost (replicas: readonly ReplicaNodes[], suspects: ReadonlySet<string>): void {
    for (const { members } of replicas) {
      const head = members[0].id
      for (const { id } of members) {
        if (this.#isLost(id, head, suspects)) this.#lost.add(id)
        else this.#lost.delete(id)
      }
    }
  }

  /**
   * An engine that answers its head may be silent to the gateways for any time, so its silence counts only if the head
   * has sent nothing to most gateways for as long. A head that refuses connections because it has too many still sends
   * to those that it has.
   */
  #isLost (id: string, head: string, suspects: ReadonlySet<string>): boolean {
    if (this.#silences.hasRefused(id) && (id !== head || suspects.has(head))) return true
    return this.#isSilentToAll(id) && this.#silences.isTooLong(this.#options.clock.now() - (this.#suspectedSince.get(head) ?? Infinity))
  }

  /**
   * Whether an engine has been silent for longer than a sound process may be, to this gateway and to those that were
   * asked about it. A cut of this gateway's own paths is no silence of the engine.
   */
  #isSilentToAll (id: string): boolean {
    return this.#silences.isLong(id) && this.#indirect.isUnanswered(id) && !this.#answersOthers(id)
  }

  #answersOthers (id: string): boolean {
    return !this.#silences.isTooLong(this.#indirect.timeSinceAnswer(id))
  }

  #checkHead (head: string, suspects: ReadonlySet<string>): void {
    const unanswered = this.#unanswered.get(head) ?? 0
    const unreachable = this.#unreachable.has(head)
    if (this.#options.roster.hasEnded(head)) this.#dead.add(head)
    else if (unanswered === 0 && !unreachable && !suspects.has(head)) this.#heartbeats.delete(head)
    else if (this.#options.roster.find(head) !== undefined) this.#readHeartbeat(head)
    else if (unanswered >= unansweredLimit && unreachable && !this.#answersOthers(head)) this.#deadUnlisted.add(head)
    if (this.#heartbeats.get(head)?.hasStopped === true && this.#isSilent(head, suspects)) this.#dead.add(head)
  }

  /**
   * Reads the heartbeat count of a listed head in doubt, from the first suspicion on, so that it is known whether the
   * count has stopped once the other evidence is complete.
   */
  #readHeartbeat (head: string): void {
    const { clock, probes, changed, failed } = this.#options
    const known = this.#heartbeats.get(head)
    const requestedAt = clock.now()
    if (known !== undefined && requestedAt - known.requestedAt < stoppedIntervals * this.#options.heartbeatInterval / readingsPerTimeout) return
    // The count of a head that answers probes and orders is read only once, as a first reading in case the head falls
    // silent later. Its replica is closed meanwhile.
    if (known !== undefined && !this.#unreachable.has(head) && (this.#unanswered.get(head) ?? 0) === 0) return
    this.#heartbeats.set(head, { count: known?.count, since: known?.since ?? Infinity, requestedAt, hasStopped: known?.hasStopped ?? false })
    probes.heartbeatOf(head).then(count => {
      const since = count !== undefined && count === known?.count ? Math.min(known.since, requestedAt) : clock.now()
      this.#heartbeats.set(head, { count, since, requestedAt, hasStopped: count !== undefined && this.#hasStopped(since) })
      changed()
    }).catch(failed)
  }

  #hasStopped (since: number): boolean {
    const { clock, heartbeatInterval } = this.#options
    return clock.now() - since >= stoppedIntervals * heartbeatInterval
  }

  /**
   * Whether a head is silent: no process listens there, or it has answered no probe of this gateway and of others for
   * longer than a sound process may be silent, and it left an order unanswered or most gateways suspect it.
   */
  #isSilent (head: string, suspects: ReadonlySet<string>): boolean {
    if (this.#silences.hasRefused(head)) return true
    return this.#isSilentToAll(head) && ((this.#unanswered.get(head) ?? 0) > 0 || suspects.has(head))
  }
}

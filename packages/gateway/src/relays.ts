/**
 * Chooses the gateways through which an engine is reached that does not answer this one. The one that it answered last
 * is always among them. Then come gateways with requests at the engine, which know best whether it serves, and then all
 * others in an order that differs from engine to engine. Each choice continues where the previous one ended, because a
 * fixed choice may be behind the same cut. Owns which gateways were chosen lately. Relies on heartbeats for the live
 * gateways and their requests.
 */
import { type Clock } from '@eiderwind/clock'
import { ranked } from '@eiderwind/hash'
import { type Heartbeat, type PeerAddress, type Peers } from '@eiderwind/peers'

/** Number of gateways in a choice. It bounds the calls that a silent engine causes in a large fleet. */
export const relaysPerChoice = 3

/** How long the choices for an engine are remembered after the last one, in ms. */
const retention = 10_000

/** The choices for one engine. */
interface Choices {
  /** Ids of the gateways that were chosen since all of them were. */
  readonly chosen: Set<string>
  /** The id of the gateway that the engine answered last, unless it has left a call through that gateway unanswered since. */
  answering: string | undefined
  /** When the last choice was made, on `Clock.now`. */
  at: number
}

/** Chooses gateways, for all engines. */
export class Relays {
  readonly #clock: Clock
  readonly #peers: Pick<Peers, 'live' | 'liveAddresses'>
  readonly #choices = new Map<string, Choices>()

  constructor (clock: Clock, peers: Pick<Peers, 'live' | 'liveAddresses'>) {
    this.#clock = clock
    this.#peers = peers
  }

  /** The gateways that are to call an engine now: `relaysPerChoice`, or all in a small fleet. */
  choose (engine: string): PeerAddress[] {
    const choices = this.#choicesFor(engine)
    const candidates = this.#candidates(engine)
    const chosen = candidates.filter(({ id }) => id === choices.answering)
    this.#choose(candidates, chosen, choices)
    if (chosen.length < relaysPerChoice) {
      choices.chosen.clear()
      this.#choose(candidates, chosen, choices)
    }
    return chosen
  }

  /** Records whether an engine answered a call through a gateway. */
  record (engine: string, gateway: string, answered: boolean): void {
    const choices = this.#choicesFor(engine)
    if (answered) choices.answering = gateway
    else if (choices.answering === gateway) choices.answering = undefined
  }

  /** Completes a choice with candidates that were not chosen lately. */
  #choose (candidates: readonly PeerAddress[], chosen: PeerAddress[], choices: Choices): void {
    const next = candidates.filter(each => !choices.chosen.has(each.id) && !chosen.includes(each)).slice(0, relaysPerChoice - chosen.length)
    for (const { id } of next) choices.chosen.add(id)
    chosen.push(...next)
  }

  #choicesFor (engine: string): Choices {
    const now = this.#clock.now()
    for (const [id, { at }] of this.#choices) if (now - at > retention) this.#choices.delete(id)
    const choices = this.#choices.get(engine) ?? { chosen: new Set<string>(), answering: undefined, at: now }
    choices.at = now
    this.#choices.set(engine, choices)
    return choices
  }

  /** The live gateways, the best to choose first. */
  #candidates (engine: string): PeerAddress[] {
    const addresses = new Map(this.#peers.liveAddresses.map(each => [each.id, each]))
    const rank = new Map(this.#peers.live.map(each => [each.id, rankOf(each, engine)]))
    const ids = ranked(engine, [...addresses.keys()]).sort((a, b) => (rank.get(a) ?? lowestRank) - (rank.get(b) ?? lowestRank))
    return ids.map(id => addresses.get(id) as PeerAddress)
  }
}

const lowestRank = 2

/** 0 for a gateway with requests at an engine that it trusts, 1 for one with requests at an engine that it suspects. */
function rankOf ({ inFlight, suspects }: Heartbeat, engine: string): number {
  if ((inFlight[engine] ?? 0) === 0) return lowestRank
  return suspects.includes(engine) ? 1 : 0
}

import { type Clock } from '@eiderwind/clock'

/** A request under way at an upstream. */
export class InFlightRequest {
  readonly upstream: string
  readonly model: string
  /** When it was sent, on `Clock.now`. */
  readonly sentAt: number
  /** Told when the upstream is taken to stand still. */
  readonly stalled: (() => void) | undefined

  constructor (upstream: string, model: string, sentAt: number, stalled?: () => void) {
    this.upstream = upstream
    this.model = model
    this.sentAt = sentAt
    this.stalled = stalled
  }
}

/** What one upstream has of this entry's. */
interface Load {
  readonly flights: Set<InFlightRequest>
  /** When anything came from it, on `Clock.now`. */
  heardAt: number
}

/** Counts this entry's requests under way by upstream and model, and when each upstream was last heard. */
export class InFlight {
  readonly #clock: Clock
  readonly #loads = new Map<string, Load>()
  readonly #models = new Map<string, number>()
  readonly #freed: () => void

  /** @param freed told after a flight has ended */
  constructor (clock: Clock, freed: () => void) {
    this.#clock = clock
    this.#freed = freed
  }

  count (upstream: string): number {
    return this.#loads.get(upstream)?.flights.size ?? 0
  }

  /** Upstreams with flights, and how many. */
  get counts (): Record<string, number> {
    return Object.fromEntries([...this.#loads].map(([id, { flights }]) => [id, flights.size]))
  }

  /** Models with flights, and how many. */
  get models (): Record<string, number> {
    return Object.fromEntries(this.#models)
  }

  /** Begins a flight. */
  begin (upstream: string, model: string, stalled?: () => void): InFlightRequest {
    const flight = new InFlightRequest(upstream, model, this.#clock.now(), stalled)
    const load = this.#loads.get(upstream) ?? { flights: new Set<InFlightRequest>(), heardAt: -Infinity }
    load.flights.add(flight)
    this.#loads.set(upstream, load)
    this.#models.set(model, (this.#models.get(model) ?? 0) + 1)
    return flight
  }

  /** Notes that something came from the flight's upstream. */
  heard ({ upstream }: InFlightRequest): void {
    const load = this.#loads.get(upstream)
    if (load !== undefined) load.heardAt = this.#clock.now()
  }

  end (flight: InFlightRequest): void {
    const load = this.#loads.get(flight.upstream)
    if (load?.flights.delete(flight) !== true) return
    if (load.flights.size === 0) this.#loads.delete(flight.upstream)
    this.#models.set(flight.model, (this.#models.get(flight.model) ?? 1) - 1)
    this.#freed()
  }

  /** InFlight at an upstream. */
  at (upstream: string): InFlightRequest[] {
    return [...this.#loads.get(upstream)?.flights ?? []]
  }

  /** Upstreams with flights that were not heard for `silence(upstream, first)` ms; `first` is true before anything came. */
  quiet (silence: (upstream: string) => number): string[] {
    const now = this.#clock.now()
    return [...this.#loads].filter(([upstream, { flights, heardAt }]) => {
      const oldest = Math.min(...[...flights].map(each => each.sentAt))
      return now - Math.max(heardAt, oldest) > silence(upstream)
    }).map(([upstream]) => upstream)
  }
}

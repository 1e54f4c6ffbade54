/** A crash of an upstream, as gateways record and report it, and what its interrupted requests say about its cause. */

/** A request that was in flight at an upstream when it crashed. */
export interface InterruptedRequest {
  /** The fingerprint of its whole content. */
  readonly request: string
  /** Names of the parts of its prompt that other requests may share. */
  readonly parts: readonly string[]
  /** Name of its team. Undefined if it is not known. */
  readonly team?: string | undefined
  /**
   * Whether its answer had not begun, or only just. A part of a prompt crashes an engine as the answer begins, so the
   * parts of any other request are no suspects.
   */
  readonly beginning: boolean
  /** Whether it ran as a trial. */
  readonly trial: boolean
}

/** An upstream that crashed, and the requests that were in flight there. */
export interface Crash {
  readonly upstream: string
  /** When its connections broke, in ms on `Clock.now`. */
  readonly at: number
  readonly requests: readonly InterruptedRequest[]
}

/** A request in flight of which only the fingerprint is known. */
export function unnamedRequest (request: string): InterruptedRequest {
  return { request, parts: [], beginning: true, trial: false }
}

/** A crash that several gateways may report. */
export interface CrashEvent {
  readonly upstream: string
  readonly at: number
  /** By fingerprint. */
  readonly requests: Map<string, InterruptedRequest>
  /** Whether it is known to be a crash and not only a broken connection. */
  confirmed: boolean
  /** Whether the time for reports is over and the crash was decided. */
  settled: boolean
}

/** The names of an interrupted request that may be the cause of the crash. */
export function suspectNames ({ request, parts, beginning }: InterruptedRequest): string[] {
  return beginning ? [request, ...parts] : [request]
}

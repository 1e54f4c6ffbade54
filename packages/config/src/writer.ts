/**
 * Writes changes of the configuration to the platform's store. All changes are conditional updates of one object, so
 * they have a total order and each has a revision of its own. The writer owns no state. It relies on the store, and on
 * operation ids to recognise a change whose answer was lost. docs/design/configuration.md gives the reasons.
 */
import { Err, Ok, type Result } from 'ts-results-es'
import { type Clock } from '@eiderwind/clock'
import { Fault } from '@eiderwind/fault'
import { Configuration, emptyConfiguration, type Audit } from '@eiderwind/schema'
import { type Store } from '@eiderwind/store'
import { apply, describe, type Change } from './change.js'

/** The key of the object that holds the whole configuration. */
export const configurationKey = 'config/current'

/** Number of audit records that stay in the configuration object when older ones are archived. */
const retainedAuditRecords = 100

/** Number of audit records in the configuration object at which older ones are archived. */
const maxAuditRecords = 200

/** Default time limit for retries and for resolving the outcome of a write. */
const defaultMaxWaitMs = 5000

/** Pause between two reads while the store does not answer, in ms. */
const readPauseMs = 100

/** Number of digits of the revision in the key of an audit object, so that keys sort by revision. */
const revisionDigits = 12

/** An operator's request for a change. */
export interface ChangeRequest {
  /** Identifies the change. It is the same in every retry, so that a change whose answer was lost is recognised. */
  readonly operation: string
  readonly who: string
  readonly change: Change
  /** The revision that the change is based on. If undefined, the change applies to the current one, whichever it is. */
  readonly revision?: number
}

/** Options of a writer. */
export interface WriterOptions {
  readonly store: Store
  readonly clock: Clock
  /** Time limit for retries and for resolving the outcome of a write, in ms. Default: 5000. */
  readonly maxWait?: number
}

interface StoredConfiguration {
  readonly version: number
  readonly configuration: Configuration
}

/**
 * Applies changes to the configuration object. A change is one conditional update, so all changes have a total order.
 *
 * If the answer to an update is lost, the writer reads the object again. If the audit trail contains the operation id,
 * the update was applied. If the version has increased without this id, the update was not applied, and can no longer
 * be applied.
 */
export class Writer {
  readonly #store: Store
  readonly #clock: Clock
  readonly #maxWait: number

  constructor (options: WriterOptions) {
    this.#store = options.store
    this.#clock = options.clock
    this.#maxWait = options.maxWait ?? defaultMaxWaitMs
  }

  /**
   * Makes the change. Resolves with a configuration that contains it, or with a fault that tells why it failed and
   * whether it may have been applied. A read that the store does not answer in time is repeated until the time limit: a
   * store or an entry that was paused for a moment answers the next one. A store that refuses is reported at once.
   */
  async change (request: ChangeRequest): Promise<Result<Configuration, Fault>> {
    const deadline = this.#clock.now() + this.#maxWait
    let mayBeApplied = false
    while (true) {
      const read = await this.#read()
      if (read.isErr()) {
        const mayRetry = mayBeApplied || read.error.code === 'store-silent'
        if (!mayRetry || this.#clock.now() >= deadline) return Err(mayBeApplied ? new Fault('store-unknown') : read.error)
        await this.#clock.wait(readPauseMs)
        continue
      }
      const { version, configuration } = read.value
      if (configuration.audit.some(record => record.operation === request.operation)) return Ok(configuration)
      if (request.revision !== undefined && request.revision !== configuration.revision) return Err(staleRevision(request.revision, configuration.revision))
      const next = await this.#nextConfiguration(configuration, request)
      if (next.isErr()) return mayBeApplied ? Err(new Fault('store-unknown')) : next
      const written = await this.#store.write(configurationKey, next.value, version)
      if (written.isOk()) return next
      if (written.error.code === 'store-down') return mayBeApplied ? Err(new Fault('store-unknown')) : written
      if (written.error.code === 'store-unknown') mayBeApplied = true
      if (this.#clock.now() >= deadline) return Err(mayBeApplied ? new Fault('store-unknown') : written.error)
    }
  }

  async #read (): Promise<Result<StoredConfiguration, Fault>> {
    const stored = await this.#store.read(configurationKey)
    return stored.andThen(({ version, value }) => {
      if (version === 0) return Ok({ version, configuration: emptyConfiguration })
      const configuration = Configuration.safeParse(value)
      if (!configuration.success) return Err(new Fault('store-down', { detail: 'The configuration object does not match its schema.' }))
      return Ok({ version, configuration: configuration.data })
    })
  }

  async #nextConfiguration (configuration: Configuration, request: ChangeRequest): Promise<Result<Configuration, Fault>> {
    const changed = apply(configuration, request.change)
    if (changed.isErr()) return changed
    const retained = await this.#archive(configuration)
    if (retained.isErr()) return retained
    const to = configuration.revision + 1
    const record: Audit = {
      operation: request.operation,
      who: request.who,
      what: describe(request.change),
      when: new Date(this.#clock.wall()).toISOString(),
      from: configuration.revision,
      to
    }
    return Ok({ ...changed.value, revision: to, audit: [...retained.value, record] })
  }

  /** Moves the older half of a full audit trail into a separate object. A repetition writes the same object. */
  async #archive ({ audit }: Configuration): Promise<Result<Audit[], Fault>> {
    if (audit.length < maxAuditRecords) return Ok(audit)
    const old = audit.slice(0, -retainedAuditRecords)
    const written = await this.#store.write(`audit/${String(old[0].to).padStart(revisionDigits, '0')}`, old, 0)
    if (written.isErr() && written.error.code !== 'stale-revision') return Err(new Fault('store-down', { detail: written.error.message }))
    return Ok(audit.slice(-retainedAuditRecords))
  }
}

function staleRevision (given: number, present: number): Fault {
  return new Fault('stale-revision', { detail: `The change was made on revision ${given}; the present one is ${present}.` })
}

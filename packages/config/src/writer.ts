/**
 * Makes a change hold at the platform. All changes go through one object with conditional updates, so they have one order and
 * one revision each. It owns no state; it relies on the store and on the operation id of a change, by which a change whose
 * answer was lost is recognised. docs/design/configuration.md has the reasons.
 */
import { Err, Ok, type Result } from 'ts-results-es'
import { type Clock } from '@eiderwind/clock'
import { Fault } from '@eiderwind/fault'
import { Configuration, emptyConfiguration, type Audit } from '@eiderwind/schema'
import { type Store } from '@eiderwind/store'
import { apply, describe, type Change } from './change.js'

/** The key of the object that holds the whole configuration. */
export const configurationKey = 'config/current'

/** Records that stay in the configuration object after the older ones were moved out. */
const keptAudit = 100

/** Records at which the older ones are moved out. */
const fullAudit = 200

/** How long to go on finding out what became of a write, unless set, in ms. */
const defaultPatience = 5000

/** Pause between two reads while the store does not answer, in ms. */
const readPause = 100

/** Digits of the revision in an audit object's key, so that keys sort by revision. */
const revisionDigits = 12

/** A change as an operator asks for it. */
export interface ChangeOrder {
  /** The same for every try of one change, so that a try whose answer was lost is recognised. */
  readonly operation: string
  readonly who: string
  readonly change: Change
  /** The revision that the operator had read, or undefined to change whatever is there. */
  readonly revision?: number
}

/** Options of a writer. */
export interface WriterOptions {
  readonly store: Store
  readonly clock: Clock
  /** How long to go on finding out what became of a write, in ms. Default: 5000. */
  readonly patience?: number
}

interface Read {
  readonly version: number
  readonly configuration: Configuration
}

/**
 * Applies changes to the one configuration object. A change is one conditional update, so all changes have one
 * order. When the answer to an update is lost, the writer reads back: the operation id in the audit trail says that
 * it took effect; a version above the one it wrote on, without that id, says that it never will.
 */
export class Writer {
  readonly #store: Store
  readonly #clock: Clock
  readonly #patience: number

  constructor (options: WriterOptions) {
    this.#store = options.store
    this.#clock = options.clock
    this.#patience = options.patience ?? defaultPatience
  }

  /** Makes the change. Resolves with the configuration that contains it, or with the fault that says why not and whether it may hold. */
  async change (order: ChangeOrder): Promise<Result<Configuration, Fault>> {
    const end = this.#clock.now() + this.#patience
    let sent = false
    while (true) {
      const read = await this.#read()
      if (read.isErr()) {
        if (this.#clock.now() >= end) return Err(sent ? new Fault('store-unknown') : read.error)
        if (!sent) return read
        await this.#clock.wait(readPause)
        continue
      }
      const { version, configuration } = read.value
      if (configuration.audit.some(record => record.operation === order.operation)) return Ok(configuration)
      if (order.revision !== undefined && order.revision !== configuration.revision) return Err(stale(order.revision, configuration.revision))
      const next = await this.#next(configuration, order)
      if (next.isErr()) return sent ? Err(new Fault('store-unknown')) : next
      const written = await this.#store.write(configurationKey, next.value, version)
      if (written.isOk()) return next
      if (written.error.code === 'store-down') return sent ? Err(new Fault('store-unknown')) : written
      if (written.error.code === 'store-unknown') sent = true
      if (this.#clock.now() >= end) return Err(sent ? new Fault('store-unknown') : written.error)
    }
  }

  async #read (): Promise<Result<Read, Fault>> {
    const stored = await this.#store.read(configurationKey)
    return stored.andThen(({ version, value }) => {
      if (version === 0) return Ok({ version, configuration: emptyConfiguration })
      const configuration = Configuration.safeParse(value)
      if (!configuration.success) return Err(new Fault('store-down', { detail: 'The configuration object has another shape than expected.' }))
      return Ok({ version, configuration: configuration.data })
    })
  }

  async #next (configuration: Configuration, order: ChangeOrder): Promise<Result<Configuration, Fault>> {
    const changed = apply(configuration, order.change)
    if (changed.isErr()) return changed
    const room = await this.#archive(configuration)
    if (room.isErr()) return room
    const to = configuration.revision + 1
    const record: Audit = {
      operation: order.operation,
      who: order.who,
      what: describe(order.change),
      when: new Date(this.#clock.wall()).toISOString(),
      from: configuration.revision,
      to
    }
    return Ok({ ...changed.value, revision: to, audit: [...room.value, record] })
  }

  /** Moves the older half of a full audit trail into an object of its own. Doing it twice writes the same. */
  async #archive ({ audit }: Configuration): Promise<Result<Audit[], Fault>> {
    if (audit.length < fullAudit) return Ok(audit)
    const old = audit.slice(0, -keptAudit)
    const written = await this.#store.write(`audit/${String(old[0].to).padStart(revisionDigits, '0')}`, old, 0)
    if (written.isErr() && written.error.code !== 'stale-revision') return Err(new Fault('store-down', { detail: written.error.message }))
    return Ok(audit.slice(-keptAudit))
  }
}

function stale (given: number, present: number): Fault {
  return new Fault('stale-revision', { detail: `The change was made on revision ${given}; the present one is ${present}.` })
}

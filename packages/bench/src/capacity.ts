/**
 * Computes the tables of docs/CAPACITY.md: the control load of each role at the size of the deployment. It relies on
 * the measured figures of docs/results.json, and on intervals and counts that repeat the settings of the daemons.
 */
import { type Figure } from './figures.js'

/**
 * The size of the deployment that the users state in their first letter ("letter 1" in docs/CAPACITY.md). `requests`
 * and `tokens` are per second, `changes` per day.
 */
export const deploymentSize = {
  entries: 390,
  workers: 1300,
  replicas: 325,
  members: 4,
  dataCentres: 18,
  requests: 11_000,
  tokens: 2_300_000,
  changes: 1100,
  teams: 100
} as const

/** Limits on the control load of one daemon: `processor` in ms per second, `bytes` per second. */
const limits = { processor: 27, bytes: 27_000 } as const

/** Counts, and intervals in seconds, that the daemons have as constants in their code. */
const entriesPerReport = 2
const reportInterval = 1
const remoteInterval = 5
const leaseInterval = 0.75
const relaysPerPair = 1
const maxExchangesPerS = 10

/** Maximum number of entries that fetch a new configuration from one that has it. */
const fetchers = 21

/** Placement changes on an ordinary day. */
const placementChanges = 120

/** One row: the control load of a role at the size of the deployment. */
interface Row {
  readonly role: string
  readonly work: string
  /** Messages per second. */
  readonly messages: number
  /** Milliseconds of processor time per second. */
  readonly processor: number
  /** Bytes per second, in both directions. */
  readonly bytes: number
  readonly mechanism: string
}

/** The rows of the table. */
function rows (figures: readonly Figure[]): Row[] {
  const value = (name: string): number => {
    const figure = figures.find(each => each.name === name)
    if (figure === undefined) throw new Error(`The results file has no figure ${name}. Run npm run bench -- --write.`)
    return figure.value
  }
  const entriesPerDataCentre = deploymentSize.entries / deploymentSize.dataCentres
  const localPeers = entriesPerDataCentre - 1
  const localWorkers = deploymentSize.workers / deploymentSize.dataCentres
  const reports = deploymentSize.workers * entriesPerReport / deploymentSize.entries / reportInterval
  const exchanges = Math.min(localPeers, maxExchangesPerS)
  const localInterval = localPeers / exchanges
  const workersPerEntry = deploymentSize.workers / deploymentSize.entries
  const relayDuties = (deploymentSize.dataCentres - 1) * relaysPerPair / entriesPerDataCentre
  const heads = deploymentSize.replicas / deploymentSize.dataCentres
  const relayedReports = relayDuties * heads / remoteInterval
  const beatBytes = (count: number): number => count * value('control.beat_bytes')
  const beatTime = (count: number): number => count * value('control.beat_cpu')
  const configurationSize = deploymentSize.teams * value('configuration.bytes')
  const changesASecond = deploymentSize.changes / 86_400
  const claims = (deploymentSize.members) / leaseInterval
  return [
    {
      role: 'entry',
      work: 'reports of workers',
      messages: reports,
      processor: reports * value('control.report_cpu'),
      bytes: reports * value('control.report_bytes'),
      mechanism: 'each worker reports to 2 entries of its data centre'
    },
    {
      role: 'entry',
      work: 'exchanges within the data centre',
      messages: 2 * exchanges,
      processor: exchanges * (value('control.exchange_cpu') + value('control.ask_cpu')) + beatTime((localWorkers + workersPerEntry * localPeers) / localInterval),
      bytes: 2 * exchanges * value('control.exchange_bytes') + beatBytes((localWorkers + workersPerEntry * localPeers) / localInterval),
      mechanism: 'each entry tells 10 others a second what it heard itself, as beats'
    },
    {
      role: 'entry that relays',
      work: 'exchanges between data centres, and passing them on',
      messages: 2 * relayDuties / remoteInterval,
      processor: relayDuties / remoteInterval * (value('control.exchange_cpu') + value('control.ask_cpu')) + beatTime(relayedReports * (2 + localPeers)),
      bytes: 2 * relayDuties / remoteInterval * value('control.exchange_bytes') + beatBytes(relayedReports * (2 + localPeers)),
      mechanism: 'one responsible entry for each pair of data centres; heads only'
    },
    {
      role: 'entry',
      work: 'hearing of other data centres',
      messages: 0,
      processor: beatTime((deploymentSize.dataCentres - 1) * heads / remoteInterval),
      bytes: beatBytes((deploymentSize.dataCentres - 1) * heads / remoteInterval),
      mechanism: 'within the exchanges of its own data centre'
    },
    {
      role: 'configuration watcher',
      work: 'taking and handing on 1,100 changes a day',
      messages: changesASecond * (1 + fetchers),
      processor: changesASecond * (value('configuration.parse') * deploymentSize.teams + fetchers * value('control.report_cpu')),
      bytes: changesASecond * (1 + fetchers) * configurationSize,
      mechanism: '2 watches a data centre; the others fetch from a peer'
    },
    {
      role: 'acting planner',
      work: 'a plan each 0.5 s for each domain it acts for (one, on average)',
      messages: placementChanges / 86_400,
      processor: 2 * value('planner.decision_1300'),
      bytes: placementChanges / 86_400 * 20_000,
      mechanism: 'rendezvous hashing; one conditional update for each change'
    },
    {
      role: 'head of a replica',
      work: 'asking its 4 members for grants',
      messages: claims,
      processor: claims * value('control.ask_cpu') + value('control.claim_cpu') / leaseInterval,
      bytes: claims * value('control.claim_bytes'),
      mechanism: 'grants by all members, no platform'
    },
    {
      role: 'worker',
      work: 'its grants, its reports',
      messages: 1 / leaseInterval + entriesPerReport / reportInterval,
      processor: value('control.claim_cpu') / leaseInterval + entriesPerReport * value('control.ask_cpu'),
      bytes: value('control.claim_bytes') / leaseInterval + entriesPerReport * value('control.report_bytes'),
      mechanism: 'one grant to one head; reports to 2 entries'
    }
  ]
}

/** The table in Markdown. Cells above their limit are marked. */
export function table (figures: readonly Figure[]): string {
  const lines = rows(figures).map(({ role, work, messages, processor, bytes, mechanism }) => {
    return `| ${role} | ${work} | ${formatted(messages)} | ${formattedCell(processor, limits.processor)} | ${formattedCell(bytes, limits.bytes)} | ${mechanism} |`
  })
  return [
    '| Role | Control work | Messages/s | Processor ms/s (limit 27) | Bytes/s (limit 27,000) | Mechanism |',
    '| --- | --- | --- | --- | --- | --- |',
    ...lines
  ].join('\n')
}

/** The measured figures in Markdown. */
export function figureTable (figures: readonly Figure[]): string {
  const lines = figures.map(({ name, unit, value, least, most, error, note }) => {
    const noise = error !== undefined ? `± ${error}` : least === undefined ? '' : `${least} to ${String(most)}`
    return `| ${name} | ${value} | ${noise} | ${unit} | ${note} |`
  })
  return ['| Figure | Value | Noise | Unit | What was measured |', '| --- | --- | --- | --- | --- |', ...lines].join('\n')
}

function formattedCell (value: number, limit: number): string {
  return value > limit ? `**${formatted(value)}, over**` : formatted(value)
}

function formatted (value: number): string {
  return value === 0 ? '0' : Number(value.toPrecision(3)).toLocaleString('en-US', { maximumSignificantDigits: 3 })
}

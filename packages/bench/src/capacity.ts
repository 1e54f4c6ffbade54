/** The table of docs/CAPACITY.md, worked out from the measured figures at the letter's size. */
import { type Figure } from './figures.js'

/** The size that letter 1 gives. */
export const letter = {
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

/** The limits of control of one daemon, and of the platform. */
const limits = { processor: 27, bytes: 27_000, memory: 32_768, reads: 2000, writes: 100 } as const

/** What the daemons do by themselves, as set in the code. Seconds and counts. */
const reportedTo = 2
const reportInterval = 1
const farInterval = 5
const leaseInterval = 0.75
const responsible = 1
const nearAtOnce = 10

/** Entries that fetch a new configuration from one that has it, at the most, and placements changed on an ordinary day. */
const fetchers = 21
const placementChanges = 120

/** One row: a role's control at the letter's size. */
interface Row {
  readonly role: string
  readonly work: string
  /** Messages a second. */
  readonly messages: number
  /** Milliseconds of processor time a second. */
  readonly processor: number
  /** Bytes a second, both ways. */
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
  const own = letter.entries / letter.dataCentres
  const near = own - 1
  const local = letter.workers / letter.dataCentres
  const reports = letter.workers * reportedTo / letter.entries / reportInterval
  const told = Math.min(near, nearAtOnce)
  const nearInterval = near / told
  const mine = letter.workers / letter.entries
  const farDuties = (letter.dataCentres - 1) * responsible / own
  const heads = letter.replicas / letter.dataCentres
  const farReports = farDuties * heads / farInterval
  const carried = (count: number): number => count * value('control.beat_bytes')
  const carriedTime = (count: number): number => count * value('control.beat_cpu')
  const configurationSize = letter.teams * value('configuration.bytes')
  const changesASecond = letter.changes / 86_400
  const claims = (letter.members) / leaseInterval
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
      messages: 2 * told,
      processor: told * (value('control.exchange_cpu') + value('control.ask_cpu')) + carriedTime((local + mine * near) / nearInterval),
      bytes: 2 * told * value('control.exchange_bytes') + carried((local + mine * near) / nearInterval),
      mechanism: 'each entry tells 10 others a second what it heard itself, as beats'
    },
    {
      role: 'entry that relays',
      work: 'exchanges between data centres, and passing them on',
      messages: 2 * farDuties / farInterval,
      processor: farDuties / farInterval * (value('control.exchange_cpu') + value('control.ask_cpu')) + carriedTime(farReports * (2 + near)),
      bytes: 2 * farDuties / farInterval * value('control.exchange_bytes') + carried(farReports * (2 + near)),
      mechanism: 'one responsible entry for each pair of data centres; heads only'
    },
    {
      role: 'entry',
      work: 'hearing of other data centres',
      messages: 0,
      processor: carriedTime((letter.dataCentres - 1) * heads / farInterval),
      bytes: carried((letter.dataCentres - 1) * heads / farInterval),
      mechanism: 'within the exchanges of its own data centre'
    },
    {
      role: 'configuration watcher',
      work: 'taking and handing on 1,100 changes a day',
      messages: changesASecond * (1 + fetchers),
      processor: changesASecond * (value('configuration.parse') * letter.teams + fetchers * value('control.report_cpu')),
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
      messages: 1 / leaseInterval + reportedTo / reportInterval,
      processor: value('control.claim_cpu') / leaseInterval + reportedTo * value('control.ask_cpu'),
      bytes: value('control.claim_bytes') / leaseInterval + reportedTo * value('control.report_bytes'),
      mechanism: 'one grant to one head; reports to 2 entries'
    }
  ]
}

/** The table in Markdown. A cell over its limit is marked. */
export function table (figures: readonly Figure[]): string {
  const lines = rows(figures).map(({ role, work, messages, processor, bytes, mechanism }) => {
    return `| ${role} | ${work} | ${number(messages)} | ${marked(processor, limits.processor)} | ${marked(bytes, limits.bytes)} | ${mechanism} |`
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

function marked (value: number, limit: number): string {
  return value > limit ? `**${number(value)}, over**` : number(value)
}

function number (value: number): string {
  return value === 0 ? '0' : Number(value.toPrecision(3)).toLocaleString('en-US', { maximumSignificantDigits: 3 })
}

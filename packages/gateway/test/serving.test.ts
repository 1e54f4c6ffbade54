/** Whether an upstream that ended an answer with its connection still serves, by its record, its report and its port. */
import test from 'ava'
import { type EngineReport } from '@eiderwind/detect'
import { type Membership, type Upstream } from '@eiderwind/roster'
import { isServing } from '../src/serving.js'

function membership (state: Membership['state'], epoch = 1): Membership {
  return { replica: 'chat.d0.1', epoch, rank: 0, state }
}

function record (held?: Membership): Upstream {
  const base = { id: 'i-1', service: 'chat', address: '10.0.0.1:80', dataCentre: 'dc-1', leaving: false, loaded: [], staged: [] }
  return held === undefined ? base : { ...base, membership: held }
}

function report (held?: Membership): EngineReport {
  return { leaving: false, loaded: [], staged: [], membership: held }
}

interface Row {
  readonly title: string
  readonly upstream?: Upstream
  readonly listed: Upstream | undefined
  /** Undefined if it does not answer. */
  readonly report?: EngineReport
  readonly hasEnded?: boolean
  readonly serves: boolean
}

const open = record(membership('open'))

const rows: readonly Row[] = [
  { title: 'a plain upstream that listens', upstream: record(), listed: record(), serves: true },
  { title: 'a plain upstream that has ended', upstream: record(), listed: record(), hasEnded: true, serves: false },
  { title: 'a head that reports its replica open', listed: open, report: report(membership('open')), serves: true },
  { title: 'a head that reports its replica closed although it is listed as open', listed: open, report: report(membership('ready')), serves: false },
  { title: 'a head that reports another epoch', listed: open, report: report(membership('open', 2)), serves: false },
  { title: 'a head that has left its replica', listed: open, report: report(), serves: false },
  { title: 'a head that is not listed and reports its replica open', listed: undefined, report: report(membership('open')), serves: true },
  { title: 'a head that is listed as closing and has closed since', listed: record(membership('closing')), report: report(membership('ready')), serves: true },
  { title: 'a head that is listed as closing and has ended', listed: record(membership('closing')), hasEnded: true, serves: false },
  { title: 'a head that does not answer, is listed as open and listens', listed: open, serves: true },
  { title: 'a head that does not answer and has ended', listed: open, hasEnded: true, serves: false },
  { title: 'a head that does not answer and is listed as closed', listed: record(membership('ready')), serves: false }
]

for (const { title, upstream = open, listed, report: answer, hasEnded = false, serves } of rows) {
  test(`${title} ${serves ? 'serves' : 'does not serve'}`, async t => {
    const options = { crashes: { hasEnded: async () => hasEnded }, probes: { report: async () => answer }, roster: { find: () => listed } }
    t.is(await isServing(upstream, options), serves)
  })
}

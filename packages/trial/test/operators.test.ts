/** The operators' interface of real daemons, through the command line and through RPC clients of other kinds. */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { createClient } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import { main } from '@eiderwind/ctl'
import { Operators } from '@eiderwind/rpc'
import { Fleet, trialToken } from '../src/index.js'

let fleet: Fleet
const folder = mkdtempSync(join(tmpdir(), 'eiderwind-test-'))
const tokenFile = join(folder, 'token')
const keyFile = join(folder, 'keys')

test.before(async () => {
  writeFileSync(tokenFile, `${trialToken}\n`)
  writeFileSync(keyFile, 'a-secret-key\nanother-secret-key\n')
  fleet = new Fleet({ entries: 2, engines: 1, members: 1, plain: 1 })
  await fleet.start()
})

test.after.always(async () => {
  await fleet.stop()
})

interface CommandResult {
  readonly status: number
  readonly out: string[]
  readonly error: string[]
}

async function run (commandLine: string, token = tokenFile): Promise<CommandResult> {
  const out: string[] = []
  const error: string[] = []
  const common = ['--server', `http://${fleet.entries[0].operators}`, '--token-file', token]
  const status = await main(['node', 'eiderwindctl', ...commandLine.split(' '), ...common], { out: line => out.push(line), error: line => error.push(line) })
  return { status, out, error }
}

async function revision (): Promise<number> {
  const { out } = await run('configuration --json')
  return Number((JSON.parse(out[0]) as { revision: string }).revision)
}

test.serial('every change made on the command line is accepted, shown in the configuration and listed in the audit trail', async t => {
  const changes = [
    'service model almanac --replicas 0 --members 4 --engine v3 --adapters coffee,maize --unchecked',
    'service plain deeds --once POST:/deeds',
    `team put growers --priority 3 --key-file ${keyFile}`,
    `operator put lucia --secret-file ${keyFile}`,
    'leave node-x'
  ]
  const before = await revision()
  for (const words of changes) t.is((await run(words)).status, 0, words)
  const { out } = await run('configuration')
  t.true(out.includes('model almanac: 0 replicas of 4 nodes, version v3, adapters coffee maize, engine does not check orders'))
  t.true(out.includes('plain service deeds: not repeatable POST /deeds'))
  t.true(out.includes('team growers: priority 3, 2 keys'))
  t.true(out.includes('operator lucia'))
  t.true(out.includes('leaving node-x'))
  for (const words of ['return node-x', 'operator drop lucia', 'team drop growers', 'service drop deeds', 'service drop almanac']) {
    t.is((await run(words)).status, 0, words)
  }
  t.is(await revision(), before + 10)
  const audit = await run(`audit --after ${before}`)
  t.is(audit.out.length, 10)
  t.regex(audit.out[0], /^\d{4}-\S+ trial: put service almanac \(revision \d+ to \d+, operation \S+\)$/)
})

test.serial('a change on a stale revision is refused with exit status 3 and a message that says what to do', async t => {
  const stale = await revision() - 1
  const { status, error } = await run(`leave node-y --revision ${stale}`)
  t.is(status, 3)
  t.regex(error[0], /^stale-revision: The change was made on revision \d+; the present one is \d+\. Read the configuration again/)
})

test.serial('a change repeated with the same operation id is made once', async t => {
  const before = await revision()
  const first = await run('leave node-z --operation once-1')
  const second = await run('leave node-z --operation once-1')
  t.deepEqual([first.status, second.status], [0, 0])
  t.is(await revision(), before + 1)
  t.is(first.out[0].split(';')[0], second.out[0].split(';')[0])
})

test.serial('faulty arguments, invalid changes, a wrong token and an unreachable entry have different exit statuses', async t => {
  t.is((await run('service plain deeds --once nonsense')).status, 2)
  t.is((await run('audit --after=-1')).status, 2)
  const bad = await run('service model Bad_Name --engine v1')
  t.is(bad.status, 1)
  t.regex(bad.error[0], /^bad-change: service\.name: a name has/)
  t.is((await run('team drop nobody')).status, 1)
  const refused = await run('status', keyFile)
  t.is(refused.status, 6)
  t.is(await main(['node', 'eiderwindctl', 'status', '--server', 'http://127.0.0.1:1', '--token-file', tokenFile], { out: () => {}, error: () => {} }), 4)
})

test.serial('the status lists entries, replicas and nodes', async t => {
  const { out } = await run('status')
  t.regex(out[0], /^revision \d+, platform answers$/)
  t.true(out.includes('entry entry-2 (dc-1): live'))
  t.true(out.some(line => line.startsWith('replica support.fabric-1.1: serving')))
  t.true(out.some(line => line.startsWith('node plain-1 (fabric-plain): live, receipts, home of slots 0 1')))
})

test.serial('a gRPC client and a JSON client make the same call on the same port', async t => {
  const grpc = createClient(Operators, createGrpcTransport({
    baseUrl: `http://${fleet.entries[1].operators}`,
    interceptors: [next => request => {
      request.header.set('authorization', `Bearer ${trialToken}`)
      return next(request)
    }]
  }))
  const byGrpc = await grpc.readConfiguration({})
  const response = await fetch(`http://${fleet.entries[1].operators}/eiderwind.v1.Operators/ReadConfiguration`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${trialToken}` },
    body: '{}'
  })
  const byJson = await response.json() as { revision: string }
  t.is(byJson.revision, String(byGrpc.revision))
})

test.serial('a watch yields the present revision and then the next one', async t => {
  const abort = new AbortController()
  const revisions: bigint[] = []
  const watching = (async () => {
    for await (const { revision: each } of fleet.operators(fleet.entries[1]).watchConfiguration({}, { signal: abort.signal })) {
      revisions.push(each)
      if (revisions.length === 1) await run('leave node-w')
      if (revisions.length === 2) return
    }
  })()
  await watching
  abort.abort()
  t.is(revisions[1], revisions[0] + 1n)
})

test.serial('no log of an entry contains a key or token', async t => {
  const lines = fleet.entries.flatMap(each => each.child.lines).map(each => JSON.stringify(each)).join('\n')
  t.true(lines.includes('"event":203'))
  for (const secret of [trialToken, 'trial-key', 'a-secret-key']) t.false(lines.includes(secret))
})

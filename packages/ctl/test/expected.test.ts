/** The report on forecasts of first events, from log lines. */
import test from 'ava'
import { readLine, type LogLine } from '../src/explain.js'
import { expectedErrors } from '../src/expected.js'
import { main } from '../src/index.js'

interface RequestFields {
  readonly first?: number
  readonly waited?: number
  readonly expected?: number
  readonly sampled?: number
  readonly prompt?: number
  readonly load?: number
  readonly unread?: number
  readonly limited?: boolean
  readonly remote?: boolean
}

function ended (fields: RequestFields): LogLine {
  const line = { time: '2026-12-02T10:00:02.100Z', event: 411, name: 'request-ended', route: 'help', outcome: 'answered 200', waited: 10, prompt: 700, load: 9, unread: 0, ...fields }
  return readLine(JSON.stringify(line)) as LogLine
}

test('errors are measured from the send, and a sampled line counts as many times as its field `sampled` states', t => {
  const rows = expectedErrors([
    ended({ first: 110, expected: 90, sampled: 50 }),
    ended({ first: 110, expected: 150, prompt: 6000, remote: true }),
    ended({ first: 910, expected: 100, load: 40, unread: 512, limited: true }),
    ended({ first: 910 }),
    ended({ expected: 100 }),
    { ...ended({ first: 1, expected: 1 }), name: 'request-refused' }
  ])
  t.deepEqual(rows.filter(({ by }) => by === 'all'), [{ by: 'all', of: 'all', requests: 52, bias: 10, median: 10, nineTenths: 10, largest: 800 }])
  t.deepEqual(rows.filter(({ by }) => by === 'prompt').map(({ of, requests, bias }) => [of, requests, bias]), [['512 to 1023', 51, 10], ['4096 and more', 1, -50]])
  t.deepEqual(rows.filter(({ by }) => by === 'load').map(({ of, requests }) => [of, requests]), [['8 to 15', 51], ['32 and more', 1]])
  t.deepEqual(rows.filter(({ by }) => by === 'unread').map(({ of }) => of), ['0', '512 to 1023'])
  t.deepEqual(rows.filter(({ by }) => by === 'limited' || by === 'remote').map(({ by, of, requests }) => [by, of, requests]), [['limited', 'no', 51], ['limited', 'yes', 1], ['remote', 'no', 51], ['remote', 'yes', 1]])
})

test('without a request that has a forecast the report is empty', t => t.deepEqual(expectedErrors([ended({ first: 100 })]), []))

test('the command names the file that cannot be read', async t => {
  const errors: string[] = []
  t.not(await main(['node', 'eiderwindctl', 'expected', '/none/such.log'], { out: () => {}, error: line => { errors.push(line) } }), 0)
  t.regex(errors.join(), /such\.log cannot be read/)
})

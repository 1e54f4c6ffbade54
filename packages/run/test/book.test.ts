import test from 'ava'
import { Attempts, Book, mintKey, readKey, type BookOptions, type Key, type StoredAnswer } from '../src/index.js'

const openedAt = 1_000_000
const tenure = 7
const options: BookOptions = { skew: 100, retention: 10_000, maxKeys: 3, maxBytes: 100 }
const answer: StoredAnswer = { status: 200, headers: {}, body: Buffer.from('receipt 1') }

function key (minted: number): Key {
  return readKey(mintKey(minted)).unwrap()
}

function decide (book: Book, each: Key, at: number, mintedFor?: number, request = 1): string {
  const decision = book.begin(each, request, at, mintedFor)
  return decision.type === 'refuse' ? `${decision.fault.code}, ${decision.fault.outcome}` : decision.type
}

interface Case {
  readonly title: string
  readonly minted: number
  readonly at: number
  readonly mintedFor?: number
  readonly decision: string
}

const cases: readonly Case[] = [
  { title: 'minted later than two skews after the takeover', minted: openedAt + 201, at: openedAt + 300, decision: 'run' },
  { title: 'minted exactly two skews after the takeover', minted: openedAt + 200, at: openedAt + 300, decision: 'key-before-home, unknown' },
  { title: 'minted before the takeover', minted: openedAt - 1, at: openedAt + 300, decision: 'key-before-home, unknown' },
  { title: 'minted by the entry for the current tenure', minted: openedAt + 50, at: openedAt + 60, mintedFor: tenure, decision: 'run' },
  { title: 'minted by the entry for an earlier tenure', minted: openedAt + 50, at: openedAt + 60, mintedFor: tenure - 1, decision: 'key-before-home, unknown' },
  { title: 'minted one skew in the future', minted: openedAt + 1100, at: openedAt + 1000, decision: 'run' },
  { title: 'minted between one and two skews in the future, which an earlier home may have accepted', minted: openedAt + 1101, at: openedAt + 1000, decision: 'key-in-future, unknown' },
  { title: 'minted more than two skews in the future', minted: openedAt + 1201, at: openedAt + 1000, decision: 'key-in-future, not-run' },
  { title: 'older than the retention time', minted: openedAt + 1000, at: openedAt + 11_000, decision: 'key-before-home, unknown' }
]

for (const { title, minted, at, mintedFor, decision } of cases) {
  test(`a key ${title} is answered: ${decision}`, t => {
    t.is(decide(new Book(openedAt, tenure, options), key(minted), at, mintedFor), decision)
  })
}

test('a repeated key is refused while it runs, then gets the stored answer, and is refused for another request', t => {
  const book = new Book(openedAt, tenure, options)
  const each = key(openedAt + 500)
  t.is(decide(book, each, openedAt + 500), 'run')
  t.is(decide(book, each, openedAt + 501), 'still-running, unknown')
  t.is(decide(book, each, openedAt + 501, tenure), 'still-running, unknown')
  book.finish(each, answer)
  t.is(decide(book, each, openedAt + 502), 'replay')
  t.is(decide(book, each, openedAt + 503, undefined, 2), 'key-reused, not-run')
})

test('a key minted before the takeover floor, for the current tenure, is retained as long as any other key', t => {
  const book = new Book(openedAt, tenure, options)
  const each = key(openedAt + 50)
  t.is(decide(book, each, openedAt + 60, tenure), 'run')
  book.finish(each, answer)
  t.is(decide(book, key(openedAt + 900), openedAt + 900), 'run')
  t.is(decide(book, each, openedAt + 901, tenure), 'replay')
  t.is(decide(book, each, openedAt + 11_000, tenure), 'replay')
  t.is(decide(book, key(openedAt + 11_000), openedAt + 11_000), 'run')
  t.is(decide(book, each, openedAt + 11_001, tenure), 'key-before-home, unknown', 'dropped from the book, and therefore refused')
})

test('a key stays unknown after its service connection broke, and may run if it was never sent to the service', t => {
  const book = new Book(openedAt, tenure, options)
  const [lost, abandoned] = [key(openedAt + 500), key(openedAt + 501)]
  decide(book, lost, openedAt + 510)
  decide(book, abandoned, openedAt + 510)
  book.markUnknown(lost)
  book.abandon(abandoned)
  t.is(decide(book, lost, openedAt + 520), 'lost, unknown')
  t.is(decide(book, abandoned, openedAt + 520), 'run')
})

test('a key whose answer is too large to store does not run again, and is reported as run', t => {
  const book = new Book(openedAt, tenure, options)
  const each = key(openedAt + 500)
  decide(book, each, openedAt + 500)
  book.finish(each, { ...answer, body: Buffer.alloc(101) })
  t.is(decide(book, each, openedAt + 501), 'answer-too-large, ran')
})

test('a full book refuses new keys, drops old ones, and refuses dropped keys even if the clock steps back', t => {
  const book = new Book(openedAt, tenure, options)
  const old = [1000, 1001, 1002].map(each => key(openedAt + each))
  for (const each of old) {
    decide(book, each, openedAt + 1002)
    book.finish(each, answer)
  }
  t.is(decide(book, key(openedAt + 1003), openedAt + 1003), 'busy, not-run')
  t.is(decide(book, key(openedAt + 11_500), openedAt + 11_500), 'run')
  t.is(book.size, 1)
  t.is(decide(book, old[0], openedAt + 1500), 'key-before-home, unknown')
})

test('a book reports that a key has not run only if it would contain an earlier run', t => {
  const book = new Book(openedAt, tenure, options)
  const ran = key(openedAt + 500)
  decide(book, ran, openedAt + 500)
  t.true(book.hasNotRun(key(openedAt + 501), openedAt + 510))
  t.false(book.hasNotRun(ran, openedAt + 510))
  t.false(book.hasNotRun(key(openedAt + 200), openedAt + 510))
  t.false(book.hasNotRun(key(openedAt + 501), openedAt + 20_000))
})

test('only UUIDs of version 7 are accepted as keys', t => {
  for (const text of ['', 'abc', '6ba7b810-9dad-41d1-80b4-00c04fd430c8']) t.is(readKey(text).unwrapErr().code, 'key-invalid')
  t.is(readKey(`"${mintKey(123_456)}"`).unwrap().minted, 123_456)
})

test('an attempt that has not started is tombstoned when its fate is requested, and never starts', t => {
  const attempts = new Attempts({ limit: 2, retention: 1000 })
  t.true(attempts.start('a', 0))
  t.is(attempts.settle('a', 5, 5), 'started')
  t.is(attempts.settle('b', 5, 5), 'tombstoned')
  t.false(attempts.start('b', 6))
  t.is(attempts.settle('b', 6, 6), 'tombstoned')
})

test('an attempt whose record may have been dropped is reported as started', t => {
  const attempts = new Attempts({ limit: 2, retention: 1000 })
  for (const [index, each] of ['a', 'b', 'c'].entries()) attempts.start(each, index * 10)
  t.is(attempts.settle('a', 30, 30), 'started')
  t.is(attempts.settle('x', 29, 30), 'tombstoned')
  t.is(attempts.settle('y', 20, 30), 'tombstoned')
  t.is(attempts.settle('z', 20, 30), 'started')
  t.is(attempts.settle('w', 20, 2000), 'tombstoned')
})

import test from 'ava'
import { Attempts, Book, mintKey, readKey, type BookOptions, type Key, type StoredAnswer } from '../src/index.js'

const openedAt = 1_000_000
const tenure = 7
const options: BookOptions = { skew: 100, keep: 10_000, limit: 3, bytes: 100 }
const answer: StoredAnswer = { status: 200, headers: {}, body: Buffer.from('receipt 1') }

function key (minted: number): Key {
  return readKey(mintKey(minted)).unwrap()
}

function begin (book: Book, each: Key, at: number, fresh?: number, request = 1): string {
  const verdict = book.begin(each, request, at, fresh)
  return verdict.type === 'refuse' ? `${verdict.fault.code}, ${verdict.fault.outcome}` : verdict.type
}

interface Case {
  readonly title: string
  readonly minted: number
  readonly at: number
  readonly fresh?: number
  readonly verdict: string
}

const cases: readonly Case[] = [
  { title: 'minted after the take-over and both skews', minted: openedAt + 201, at: openedAt + 300, verdict: 'run' },
  { title: 'minted at the take-over plus both skews', minted: openedAt + 200, at: openedAt + 300, verdict: 'key-before-home, unknown' },
  { title: 'minted before the take-over', minted: openedAt - 1, at: openedAt + 300, verdict: 'key-before-home, unknown' },
  { title: 'minted by the entry for this very attempt', minted: openedAt + 50, at: openedAt + 60, fresh: tenure, verdict: 'run' },
  { title: 'minted by the entry for an earlier tenure', minted: openedAt + 50, at: openedAt + 60, fresh: tenure - 1, verdict: 'key-before-home, unknown' },
  { title: 'stamped one skew ahead', minted: openedAt + 1100, at: openedAt + 1000, verdict: 'run' },
  { title: 'stamped more than a skew ahead, which an earlier home may have taken', minted: openedAt + 1101, at: openedAt + 1000, verdict: 'key-in-future, unknown' },
  { title: 'stamped more than two skews ahead', minted: openedAt + 1201, at: openedAt + 1000, verdict: 'key-in-future, not-run' },
  { title: 'older than keys are remembered', minted: openedAt + 1000, at: openedAt + 11_000, verdict: 'key-before-home, unknown' }
]

for (const { title, minted, at, fresh, verdict } of cases) {
  test(`a key ${title} gets the verdict: ${verdict}`, t => {
    t.is(begin(new Book(openedAt, tenure, options), key(minted), at, fresh), verdict)
  })
}

test('a key runs once: still running, then its answer, then nothing else', t => {
  const book = new Book(openedAt, tenure, options)
  const each = key(openedAt + 500)
  t.is(begin(book, each, openedAt + 500), 'run')
  t.is(begin(book, each, openedAt + 501), 'still-running, unknown')
  t.is(begin(book, each, openedAt + 501, tenure), 'still-running, unknown')
  book.finish(each, answer)
  t.is(begin(book, each, openedAt + 502), 'replay')
  t.is(begin(book, each, openedAt + 503, undefined, 2), 'key-reused, not-run')
})

test('a key older than its home, taken on the entry\'s word, is remembered as long as any other', t => {
  const book = new Book(openedAt, tenure, options)
  const each = key(openedAt + 50)
  t.is(begin(book, each, openedAt + 60, tenure), 'run')
  book.finish(each, answer)
  t.is(begin(book, key(openedAt + 900), openedAt + 900), 'run')
  t.is(begin(book, each, openedAt + 901, tenure), 'replay')
  t.is(begin(book, each, openedAt + 11_000, tenure), 'replay')
  t.is(begin(book, key(openedAt + 11_000), openedAt + 11_000), 'run')
  t.is(begin(book, each, openedAt + 11_001, tenure), 'key-before-home, unknown', 'forgotten, and refused for it')
})

test('a key whose service broke off stays unknown; one that was never handed over may run', t => {
  const book = new Book(openedAt, tenure, options)
  const [lost, abandoned] = [key(openedAt + 500), key(openedAt + 501)]
  begin(book, lost, openedAt + 510)
  begin(book, abandoned, openedAt + 510)
  book.lose(lost)
  book.abandon(abandoned)
  t.is(begin(book, lost, openedAt + 520), 'lost, unknown')
  t.is(begin(book, abandoned, openedAt + 520), 'run')
})

test('an answer too large to keep is not run again, and the caller is told that it ran', t => {
  const book = new Book(openedAt, tenure, options)
  const each = key(openedAt + 500)
  begin(book, each, openedAt + 500)
  book.finish(each, { ...answer, body: Buffer.alloc(101) })
  t.is(begin(book, each, openedAt + 501), 'answer-too-large, ran')
})

test('a full book refuses new keys, forgets old ones, and never takes a forgotten one, even when the clock steps back', t => {
  const book = new Book(openedAt, tenure, options)
  const old = [1000, 1001, 1002].map(each => key(openedAt + each))
  for (const each of old) {
    begin(book, each, openedAt + 1002)
    book.finish(each, answer)
  }
  t.is(begin(book, key(openedAt + 1003), openedAt + 1003), 'busy, not-run')
  t.is(begin(book, key(openedAt + 11_500), openedAt + 11_500), 'run')
  t.is(book.size, 1)
  t.is(begin(book, old[0], openedAt + 1500), 'key-before-home, unknown')
})

test('a home says that a key has not run only where it would know', t => {
  const book = new Book(openedAt, tenure, options)
  const ran = key(openedAt + 500)
  begin(book, ran, openedAt + 500)
  t.true(book.unrun(key(openedAt + 501), openedAt + 510))
  t.false(book.unrun(ran, openedAt + 510))
  t.false(book.unrun(key(openedAt + 200), openedAt + 510))
  t.false(book.unrun(key(openedAt + 501), openedAt + 20_000))
})

test('only UUIDs of version 7 are keys', t => {
  for (const text of ['', 'abc', '6ba7b810-9dad-41d1-80b4-00c04fd430c8']) t.is(readKey(text).unwrapErr().code, 'key-invalid')
  t.is(readKey(`"${mintKey(123_456)}"`).unwrap().minted, 123_456)
})

test('an attempt that has not started never will once its fate was asked for', t => {
  const attempts = new Attempts({ limit: 2, keep: 1000 })
  t.true(attempts.start('a', 0))
  t.is(attempts.settle('a', 5, 5), 'started')
  t.is(attempts.settle('b', 5, 5), 'tombstoned')
  t.false(attempts.start('b', 6))
  t.is(attempts.settle('b', 6, 6), 'tombstoned')
})

test('where attempts were forgotten, the answer promises nothing', t => {
  const attempts = new Attempts({ limit: 2, keep: 1000 })
  for (const [index, each] of ['a', 'b', 'c'].entries()) attempts.start(each, index * 10)
  t.is(attempts.settle('a', 30, 30), 'started')
  t.is(attempts.settle('x', 29, 30), 'tombstoned')
  t.is(attempts.settle('y', 20, 30), 'tombstoned')
  t.is(attempts.settle('z', 20, 30), 'started')
  t.is(attempts.settle('w', 20, 2000), 'tombstoned')
})

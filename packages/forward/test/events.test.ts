/** A stream is split into complete events regardless of its chunks. */
import test from 'ava'
import { EventSplitter } from '../src/index.js'

test('a stream is split into complete events for each chunk size', t => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 31\ndata: c\n\n'
  for (let size = 1; size <= text.length; size++) {
    const splitter = new EventSplitter()
    const events = []
    for (let at = 0; at < text.length; at += size) events.push(...splitter.push(Buffer.from(text.slice(at, at + size))))
    t.deepEqual(events.map(each => each.id), [1, 2, undefined, 31], `chunks of ${size}`)
    t.is(Buffer.concat(events.map(each => each.bytes)).toString(), text)
    t.true(splitter.atBoundary)
  }
})

/** Each piece used to copy and search all bytes before it: 8 MiB in pieces of 100 bytes occupied the process for minutes. */
test('the work for an event that does not end grows with its length alone', t => {
  const splitter = new EventSplitter()
  const piece = Buffer.from(`data: ${'a'.repeat(93)}\n`)
  const startedAt = performance.now()
  while (splitter.pendingBytes < 8 * 2 ** 20) {
    splitter.push(piece)
    if (performance.now() - startedAt > 10_000) return t.fail(`${splitter.pendingBytes} bytes in 10 s`)
  }
  const [event, next] = splitter.push(Buffer.from('\nid: 7\n\n'))
  t.is(event.bytes.length, Math.ceil(8 * 2 ** 20 / piece.length) * piece.length + 1)
  t.is(next.id, 7)
  t.true(splitter.atBoundary)
})

test('an incomplete event is not returned', t => {
  const splitter = new EventSplitter()
  t.is(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata:')).length, 1)
  t.false(splitter.atBoundary)
})

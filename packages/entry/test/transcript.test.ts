import test from 'ava'
import fc from 'fast-check'
import { Transcript } from '../src/index.js'

const seed = 20261206

function event (id: number, content: string): string {
  return `id: ${id}\ndata: ${JSON.stringify({ choices: [{ delta: { content }, finish_reason: null }] })}\n\n`
}

function stream (words: readonly string[]): Buffer {
  const stop = `id: ${words.length + 1}\ndata: ${JSON.stringify({ choices: [{ delta: {}, finish_reason: 'stop' }] })}\n\n`
  return Buffer.from(words.map((word, index) => event(index + 1, word)).join('') + stop + 'data: [DONE]\n\n')
}

test('a stream cut into any chunks and broken anywhere is forwarded in complete events, and offset and text match them', t => {
  const text = fc.array(fc.string({ minLength: 1, maxLength: 40, unit: 'grapheme' }), { minLength: 1, maxLength: 40 })
  fc.assert(fc.property(text, fc.array(fc.nat(200), { minLength: 1 }), fc.double({ min: 0, max: 1, noNaN: true }), (words, cuts, end) => {
    const bytes = stream(words)
    const broken = bytes.subarray(0, Math.floor(bytes.length * end))
    const transcript = new Transcript()
    let forwarded = ''
    for (let at = 0, turn = 0; at < broken.length; turn++) {
      const size = 1 + cuts[turn % cuts.length]
      forwarded += transcript.take(broken.subarray(at, at + size))?.toString('latin1') ?? ''
      at += size
    }
    const progress = transcript.resume()
    const events = forwarded === '' ? [] : forwarded.split('\n\n').slice(0, -1)
    const tokens = events.filter(each => each.includes('content'))
    return bytes.toString('latin1').startsWith(forwarded) &&
      (forwarded === '' || forwarded.endsWith('\n\n')) &&
      progress.text === words.slice(0, tokens.length).join('') &&
      progress.offset === events.filter(each => each.startsWith('id: ')).length &&
      transcript.isComplete === forwarded.includes('[DONE]')
  }), { seed, numRuns: 300 })
  t.pass()
})

test('a long stream is parsed in steps, and a transcript with a start position continues from there', t => {
  const words = Array.from({ length: 2000 }, (_each, index) => `w${index} `)
  const transcript = new Transcript({ offset: 0, text: '', hasFinishReason: false })
  transcript.take(stream(words))
  t.deepEqual(transcript.resume(), { offset: 2001, text: words.join(''), hasFinishReason: true })
  const later = new Transcript({ offset: 7, text: 'before ', hasFinishReason: false })
  later.take(Buffer.from(event(8, 'after')))
  t.deepEqual(later.resume(), { offset: 8, text: 'before after', hasFinishReason: false })
})

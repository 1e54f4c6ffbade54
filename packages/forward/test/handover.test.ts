/** Which attempt of a moving stream goes on, without any network. */
import test from 'ava'
import { Handover, isWholeAnswer, type Contender } from '../src/handover.js'

/** An attempt that records what is done to it. */
class ScriptedContender implements Contender {
  readonly upstream: { readonly id: string }
  readonly #handover: Handover<ScriptedContender>
  isHeld = false
  cancelled: string | undefined

  constructor (id: string, handover: Handover<ScriptedContender>) {
    this.upstream = { id }
    this.#handover = handover
  }

  cancel (why: string): void {
    this.cancelled = why
    this.#handover.ended(this, false)
  }

  hold (): void {
    this.isHeld = true
  }

  release (): void {
    this.isHeld = false
  }
}

/** A stream that moves away from `first`. `wins`: how often the kept attempt went on. */
function movingStream (isPlanned = false): { handover: Handover<ScriptedContender>, first: ScriptedContender, second: ScriptedContender, wins: () => number } {
  let count = 0
  const handover = new Handover<ScriptedContender>(() => { count++ })
  const first = new ScriptedContender('first', handover)
  handover.begin(first)
  handover.keep(first, isPlanned)
  return { handover, first, second: new ScriptedContender('second', handover), wins: () => count }
}

// Guards against a connection that is given up although its next event is on its way.
test('the kept attempt goes on if it sends the next event first, and the next one is cancelled', t => {
  const { handover, first, second, wins } = movingStream()
  handover.begin(second)
  handover.sent(first)
  t.deepEqual([first.cancelled, second.cancelled, wins(), handover.isKeptChosen], [undefined, 'first went on', 1, true])
  handover.sent(first)
  t.is(wins(), 1)
  t.is(handover.takeKept(), first)
  t.true(handover.mayMove(first, false))
})

// Guards against a second attempt that is begun although the silence has ended during the search for it.
test('the kept attempt goes on if it sends an event before the next one has begun', t => {
  const { handover, first, wins } = movingStream()
  handover.sent(first)
  t.deepEqual([wins(), handover.isKeptChosen], [1, true])
})

// Guards against streams that get the events of two upstreams.
test('the next attempt goes on if it sends the next event first, and the kept one is cancelled', t => {
  const { handover, first, second, wins } = movingStream()
  handover.begin(second)
  handover.sent(second)
  t.deepEqual([first.cancelled, second.cancelled, wins()], ['second went on', undefined, 0])
  t.is(handover.takeKept(), undefined)
})

// Guards against streams that end because their second attempt failed.
test('the kept attempt goes on if the next one fails', t => {
  const { handover, first, second } = movingStream()
  handover.begin(second)
  t.false(handover.ended(second, false))
  t.is(handover.takeKept(), first)
})

// Guards against streams that end with their silent attempt while the next one is under way.
test('the next attempt goes on if the kept one fails', t => {
  const { handover, first, second } = movingStream()
  handover.begin(second)
  t.true(handover.ended(first, false))
  t.is(second.cancelled, undefined)
  t.is(handover.takeKept(), undefined)
})

// Guards against attempts that run on after the answer is whole.
test('the other attempt is cancelled when one has sent the whole answer', t => {
  const kept = movingStream()
  kept.handover.begin(kept.second)
  t.false(kept.handover.ended(kept.first, true))
  t.is(kept.second.cancelled, 'first went on')
  const next = movingStream()
  next.handover.begin(next.second)
  next.handover.ended(next.second, true)
  t.is(next.first.cancelled, 'second went on')
})

// Guards against evacuations that move nothing because the upstream works and always sends first.
test('an attempt at an upstream that works is held while the next one is under way, and released if it fails', t => {
  const { handover, first, second, wins } = movingStream(true)
  handover.sent(first)
  t.deepEqual([first.isHeld, wins()], [false, 0])
  handover.begin(second)
  t.true(first.isHeld)
  handover.ended(second, false)
  t.is(handover.takeKept(), first)
  t.false(first.isHeld)
})

// Guards against more than two attempts at once.
test('an attempt that is kept moves no further, and is cancelled if the next one moves', t => {
  const { handover, first, second } = movingStream()
  t.false(handover.mayMove(first, false))
  t.false(handover.mayMove(second, false), 'its silence is no reason to give up the first')
  handover.begin(second)
  t.true(handover.mayMove(second, true))
  handover.keep(second, false)
  t.is(first.cancelled, 'the stream moved once more')
  t.is(handover.takeKept(), second)
})

// Guards against refusals that end a stream whose other attempt lives.
test('an answer is whole if its stream has ended, or if it reports no error and no other one has begun', t => {
  const answer = (status: number): Parameters<typeof isWholeAnswer>[0] => ({ kind: 'answered', status, headers: {}, body: Buffer.alloc(0) })
  t.true(isWholeAnswer({ kind: 'passed' }, true))
  t.true(isWholeAnswer(answer(204), false))
  t.false(isWholeAnswer(answer(204), true))
  for (const status of [404, 429, 500, 503]) t.false(isWholeAnswer(answer(status), false))
  t.false(isWholeAnswer({ kind: 'lost', why: '' }, true))
})

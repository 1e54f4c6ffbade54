/** The bytes of the datagrams about tokens, and which datagrams are rejected. */
import test from 'ava'
import { decodeMessage, encodeMessage, type TokenMessage } from '../src/index.js'

const messages: ReadonlyArray<readonly [TokenMessage, string]> = [
  [{ token: 'ask', upstream: 'u', number: 7, priority: 1, patience: 66, limit: [1.6, 20] }, '{"token":"ask","upstream":"u","number":7,"priority":1,"patience":66,"limit":[1.6,20]}'],
  [{ token: 'ask', upstream: 'u', number: 7, priority: 1, patience: 66, limit: [null, 20] }, '{"token":"ask","upstream":"u","number":7,"priority":1,"patience":66,"limit":[null,20]}'],
  [{ token: 'ask', upstream: 'u', number: 7, priority: 1, patience: 66, limit: [null, 20], cold: [32, 1500] }, '{"token":"ask","upstream":"u","number":7,"priority":1,"patience":66,"limit":[null,20],"cold":[32,1500]}'],
  [{ token: 'drop', upstream: 'u', number: 7 }, '{"token":"drop","upstream":"u","number":7}'],
  [{ token: 'grant', number: 7 }, '{"token":"grant","number":7}'],
  [{ token: 'later', number: 7, due: 12.5 }, '{"token":"later","number":7,"due":12.5}']
]

test('messages keep their bytes', t => {
  for (const [message, bytes] of messages) {
    t.is(encodeMessage(message), bytes)
    t.deepEqual(decodeMessage(Buffer.from(bytes)), message)
  }
})

test('an invalid datagram is rejected', t => {
  for (const bytes of ['', '{', '[]', 'null', '{"token":"steal","number":1}', '{"token":"grant","number":-1}', '{"token":"grant","number":1.5}', '{"token":"grant"}', '{"token":"later","number":1,"due":-1}', '{"token":"ask","upstream":"u","number":1,"priority":1,"patience":5}']) {
    t.is(decodeMessage(Buffer.from(bytes)), undefined, bytes)
  }
})

/** The fingerprint is exchanged and stored: its literal value must stay. */
import test from 'ava'
import { fingerprint, type RequestContent } from '@eiderwind/crashes'

const content: RequestContent = { method: 'POST', host: 'site.example', target: '/chat/?a=b', team: 'one', body: Buffer.from('hello') }

test('the fingerprint of a request stays', t => {
  t.is(fingerprint(content), fingerprint({ ...content, body: Buffer.from('hello') }))
  t.is(fingerprint(content), '7197ef48a3bd5811')
})

test('each part of the content counts, and none runs into the next', t => {
  const others = [{ method: 'PUT' }, { host: 'other.example' }, { target: '/chat/' }, { team: 'two' }, { team: '' }, { body: undefined }, { body: Buffer.from('hello ') }, { target: '/chat/?a=b","on' }]
  const all = [content, ...others.map(each => ({ ...content, ...each }))].map(fingerprint)
  t.is(new Set(all).size, all.length)
})

/** Fingerprints are exchanged and stored, so their literal values must not change. */
import test from 'ava'
import { fingerprint, type RequestContent } from '@eiderwind/crashes'

const content: RequestContent = { method: 'POST', host: 'site.example', target: '/chat/?a=b', team: 'one', body: Buffer.from('hello') }

test('the fingerprint of a request depends on its content only and has its literal value', t => {
  t.is(fingerprint(content), fingerprint({ ...content, body: Buffer.from('hello') }))
  t.is(fingerprint(content), '7197ef48a3bd5811')
})

test('the fingerprint depends on each part of the content and on the boundaries between the parts', t => {
  const others = [{ method: 'PUT' }, { host: 'other.example' }, { target: '/chat/' }, { team: 'two' }, { team: '' }, { body: undefined }, { body: Buffer.from('hello ') }, { target: '/chat/?a=b","on' }]
  const all = [content, ...others.map(each => ({ ...content, ...each }))].map(fingerprint)
  t.is(new Set(all).size, all.length)
})

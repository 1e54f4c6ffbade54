/** Names of parts are exchanged and stored, so their literal values must not change. They come from callers. */
import test from 'ava'
import { LazyIdentity, sharedParts } from '@eiderwind/crashes'

const model = 'small'

test('a prompt has a name for each part but the last, in order and once', t => {
  t.deepEqual(sharedParts({ model, parts: '5c1e07a2:800,91bd3f06:410,e4402b7d:250' }), ['small/5c1e07a2', 'small/91bd3f06'])
  t.deepEqual(sharedParts({ model, parts: 'a:1, b:2,a:3,c:4' }), ['small/a', 'small/b'])
  t.deepEqual(sharedParts({ model, parts: 'a:1' }), [])
  t.deepEqual(sharedParts({ model, parts: undefined }), [])
})

test('the same part of another model has another name', t => {
  t.notDeepEqual(sharedParts({ model, parts: 'a:1,b:1' }), sharedParts({ model: 'large', parts: 'a:1,b:1' }))
})

test('unusual models and ids are hashed, so a name is short and holds no character that callers choose freely', t => {
  t.deepEqual(sharedParts({ model, parts: 'x y:1,b:1' }), ['/fbf318de2d7c96f1'])
  for (const parts of [`${'f'.repeat(1000)}:1,b:1`, '\u0000:1,b:1', ':1,b:1', '::,b:1', '@team:1,b']) {
    const [name] = sharedParts({ model, parts })
    t.regex(name, /^\/[0-9a-f]{16}$/)
  }
  t.regex(sharedParts({ model: 'm'.repeat(1000), parts: 'a:1,b:1' })[0], /^\/[0-9a-f]{16}$/)
})

test('a malformed or endless list is read up to a bound and gives no error', t => {
  t.deepEqual(sharedParts({ model, parts: ',,a,,b:1,' }), ['small/a'])
  t.deepEqual(sharedParts({ model, parts: '' }), [])
  const many = Array.from({ length: 5000 }, (_each, index) => `p${index}:1`).join()
  t.deepEqual(sharedParts({ model, parts: many }), Array.from({ length: 8 }, (_each, index) => `small/p${index}`))
  t.true(sharedParts({ model, parts: 'a:1,'.repeat(100_000) }).length <= 8)
})

test('the names of a request are those of its content, its parts and its team', t => {
  const content = { method: 'POST', host: 'site.example', target: '/chat/', team: 'one', body: Buffer.from('hello') }
  const identity = new LazyIdentity(content, { model, parts: 'a:1,b:2' })
  t.regex(identity.fingerprint, /^[0-9a-f]{16}$/)
  t.is(identity.fingerprint, identity.fingerprint)
  t.deepEqual(identity.parts, ['small/a'])
  t.is(identity.team, '@one')
})

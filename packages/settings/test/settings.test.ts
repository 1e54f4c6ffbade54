import { readFileSync } from 'node:fs'
import test from 'ava'
import { checkSettings, problemLine, readSettings, schemas, type Role } from '../src/index.js'

const root = new URL('../../../../', import.meta.url)

function lines (text: string, role?: Role): string[] {
  return checkSettings('x.ini', text, role).unwrapErr().map(problemLine)
}

for (const role of ['entry', 'worker', 'direct'] as const) {
  test(`the commented example of role ${role} is valid and contains every section and key`, t => {
    const text = readFileSync(new URL(`examples/${role}.ini`, root), 'utf8')
    t.is(checkSettings('example', text).unwrap().role, role)
    for (const [section, shape] of Object.entries(schemas[role].shape)) {
      const inner = ('shape' in shape ? shape.shape : shape.def.innerType.shape) as object
      t.true(text.includes(`[${section}]`), section)
      for (const key of Object.keys(inner)) t.regex(text, new RegExp(`^${key} = `, 'm'), `${section} ${key}`)
    }
  })
}

test('all problems are reported together, with file, section, key and remedy', t => {
  const found = lines('[process]\nid = x\nfoo = 1\n[listen]\ncallers = abc\n[platform]\nurl = ftp://x\ntimeout = -1\n[zzz]\n')
  t.is(found.length, 9)
  t.true(found.includes('x.ini: [listen] callers: "abc" does not fit. Give an address as host:port, such as 127.0.0.1:7000.'))
  t.true(found.includes('x.ini: [process] foo: The key is unknown. Remove it or correct its name.'))
  t.true(found.includes('x.ini: [platform] timeout: "-1" does not fit. Give more than 0 milliseconds.'))
  t.true(found.includes('x.ini: [zzz]: The section is unknown. Remove it or correct its name.'))
})

test('worker settings without an entry as seed are refused', t => {
  const text = '[process]\nid = n\ndata_centre = d\nregion = r\n[listen]\npeers = a:1\n[node]\nid = n\n[upstream]\nkind = engine\nurl = http://a:1\n[entries]\nseeds =\n'
  t.deepEqual(lines(text), ['x.ini: [entries] seeds: "" does not fit. Give at least one address.'])
})

test('a file that cannot be read is reported as a problem', t => {
  t.is(problemLine(readSettings('/nowhere.ini').unwrapErr()[0]), '/nowhere.ini: The file cannot be read (ENOENT). Give the path of a readable file.')
})

// Guards against: a process that starts with an address that nobody can call or listen on, and ends later (FAULT).
test('an address with an odd port or host is refused with its section and key', t => {
  const text = readFileSync(new URL('examples/direct.ini', root), 'utf8')
  for (const [section, key] of [['listen', 'callers'], ['listen', 'health'], ['listen', 'peers'], ['platform', 'store'], ['observe', 'metrics']]) {
    for (const address of ['10.0.0.1:99999', '10.0.0.1:-1', 'a%zz<>:80', '[::1:80:8080', '10.0.0.1:', ':80']) {
      const odd = text.replace(new RegExp(`^${key} = .*$`, 'm'), `${key} = ${address}`)
      t.deepEqual(lines(odd).map(each => each.split(':')[1]), [` [${section}] ${key}`], `${key} = ${address}`)
    }
  }
  t.is(lines(text.replace(/^store = .*$/m, 'store = 10.0.0.1:0')).length, 1)
})

/**
 * JSON texts near a valid one, as another writer may store or send them: one value in it is replaced, missing, written
 * twice, wrapped in lists or repeated. They are texts, not values, because some of them cannot be written from a value:
 * a name twice, a number above the largest, a nesting too deep for `JSON.stringify`.
 */

/** Lists or objects within each other: deeper than any writer of ours, and deeper than a recursive function can follow. */
const depths = [5000, 400_000]

/** Length of a long text, in characters, and of a long list, in items. */
const longText = 2 ** 20
const longList = 200_000

function nested (open: string, close: string, depth: number): string {
  return open.repeat(depth) + close.repeat(depth)
}

function listOf (item: string, count: number): string {
  return `[${Array(count).fill(item).join(',')}]`
}

/** The values that take the place of a valid one. The last ones are large. */
const oddValues: readonly string[] = [
  ...['null', 'true', 'false', '[]', '{}', '[null]', '[[]]', '{"":null}'],
  ...['0', '-0', '-1', '0.5', '1e-300', '1e15', '281474976710656', '9007199254740991', '9007199254740992', '1e300', '-1e300', '1e999', '-1e999'],
  ...['""', '" "', '"NaN"', '"Infinity"', '"-1"', '"1e999"', '"null"', '"\\u0000"', '"a\\r\\nb: c"', '"\\ud800"', '"é"', '"\\u4e2d"'],
  ...['"__proto__"', '"constructor"', '"toString"', '{"__proto__":{"id":1}}', '{"constructor":1,"toString":2}', '{"length":5}'],
  ...['"127.0.0.1:99999"', '"127.0.0.1:0"', '"127.0.0.1:-1"', '"a%zz<>:8080"', '"\\\\\\\\:80"', '"[::1:80:8080"', '"ho?st#x:80"', '"x y"', '"[::"', '"../../x?y=1"'],
  ...depths.flatMap(depth => [nested('[', ']', depth), `${'{"a":'.repeat(depth)}1${'}'.repeat(depth)}`]),
  `"${'x'.repeat(longText)}"`,
  listOf('0', longList),
  listOf('"x"', longList),
  listOf('{}', longList)
]

/** Copies of an item in a list that repeats it. */
const copies = 300

/** What happens to the chosen value; all but `replace` keep it. */
const manners = ['replace', 'replace', 'replace', 'omit', 'twice', 'wrap', 'repeat', 'rename'] as const

/** What is odd in a text. Any whole numbers of at least 0: each selects one of a list. */
export interface OddChoice {
  readonly place: number
  readonly manner: number
  readonly value: number
}

/** The text of a valid value with one odd part. */
export function oddJson (valid: unknown, { place, manner, value }: OddChoice): string {
  const places = placesIn(valid)
  return textWith(valid, places[place % places.length], (name, text) => memberText(name, text, manners[manner % manners.length], oddValues[value % oddValues.length]))
}

type Place = ReadonlyArray<string | number>

/** Every part of a value, by the names and positions that lead there. The first is the value itself. */
function placesIn (value: unknown): Place[] {
  if (typeof value !== 'object' || value === null) return [[]]
  const parts = Array.isArray(value) ? [...value.entries()] : Object.entries(value)
  return [[], ...parts.flatMap(([name, part]) => placesIn(part).map(each => [name, ...each]))]
}

/** @param edit the text of a member of an object, or of an item of a list, in place of the valid one */
function textWith (value: unknown, [first, ...others]: Place, edit: (name: string | undefined, text: string) => string): string {
  if (first === undefined) return edit(undefined, JSON.stringify(value))
  const editPart = (name: string | undefined, part: unknown): string => others.length === 0 ? edit(name, JSON.stringify(part)) : prefixed(name, textWith(part, others, edit))
  if (Array.isArray(value)) return `[${value.map((each, index) => index === first ? editPart(undefined, each) : JSON.stringify(each)).join(',')}]`
  const members = Object.entries(value as object).map(([name, part]) => name === first ? editPart(name, part) : prefixed(name, JSON.stringify(part)))
  return `{${members.filter(each => each !== '').join(',')}}`
}

function prefixed (name: string | undefined, text: string): string {
  return name === undefined ? text : `${JSON.stringify(name)}:${text}`
}

function memberText (name: string | undefined, text: string, manner: typeof manners[number], odd: string): string {
  switch (manner) {
    case 'omit': return name === undefined ? 'null' : ''
    case 'twice': return name === undefined ? odd : `${prefixed(name, text)},${prefixed(name, odd)}`
    case 'wrap': return prefixed(name, `[${text}]`)
    case 'repeat': return prefixed(name, listOf(text, copies))
    case 'rename': return name === undefined ? odd : `${prefixed(`${name}2`, text)},${prefixed('__proto__', odd)}`
    default: return prefixed(name, odd)
  }
}

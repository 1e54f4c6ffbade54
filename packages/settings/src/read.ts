/**
 * Reads settings files and checks them against the schema of their role. All problems of a file are reported together,
 * each with its section, its key and a remedy, so that an operator can correct the file in one pass. Relies on
 * `shapes.ts` for the schemas.
 */
import { readFileSync } from 'node:fs'
import { parse } from 'ini'
import { Err, Ok, type Result } from 'ts-results-es'
import { type z } from 'zod'
import { schemas, type DirectSettings, type EntrySettings, type Role, type WorkerSettings } from './shapes.js'

/** One problem of a settings file. */
export interface Problem {
  readonly file: string
  readonly section: string
  readonly key: string
  readonly message: string
  readonly remedy: string
}

/** The checked settings of a role. */
export type Settings =
  | { readonly role: 'entry', readonly entry: EntrySettings }
  | { readonly role: 'worker', readonly worker: WorkerSettings }
  | { readonly role: 'direct', readonly direct: DirectSettings }

/** Reads and checks a settings file. A file that cannot be read is reported as a problem too. */
export function readSettings (file: string, role?: Role): Result<Settings, Problem[]> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return Err([problem(file, '', '', `The file cannot be read (${(error as { code: string }).code}).`, 'Give the path of a readable file.')])
  }
  return checkSettings(file, text, role)
}

/** Checks the text of a settings file. If no role is given, it is inferred from the sections. */
export function checkSettings (file: string, text: string, role?: Role): Result<Settings, Problem[]> {
  const found: unknown = JSON.parse(JSON.stringify(parse(text)))
  const inferredRole = role ?? inferRole(found as object)
  if (inferredRole === 'entry') return check(file, schemas.entry, found).map(entry => ({ role: 'entry', entry }))
  if (inferredRole === 'direct') return check(file, schemas.direct, found).map(direct => ({ role: 'direct', direct }))
  return check(file, schemas.worker, found).map(worker => ({ role: 'worker', worker }))
}

/** The role to which the sections and keys belong. */
function inferRole (found: object): Role {
  if ('upstream' in found || 'node' in found) return 'worker'
  return 'bounds' in found || 'store' in ((found as { platform?: object }).platform ?? {}) ? 'direct' : 'entry'
}

/** Formats a problem as one line: file, section, key, message and remedy. */
export function problemLine ({ file, section, key, message, remedy }: Problem): string {
  const location = [section === '' ? '' : `[${section}]`, key].filter(each => each !== '').join(' ')
  return `${file}: ${location === '' ? '' : `${location}: `}${message} ${remedy}`
}

function check<Shape extends z.ZodType> (file: string, shape: Shape, found: unknown): Result<z.infer<Shape>, Problem[]> {
  const checked = shape.safeParse(found)
  if (checked.success) return Ok(checked.data)
  return Err(checked.error.issues.flatMap(issue => problems(file, issue, found)))
}

function problems (file: string, issue: z.core.$ZodIssue, found: unknown): Problem[] {
  const [section = '', key = ''] = issue.path.map(String)
  if (issue.code === 'unrecognized_keys') return issue.keys.map(unknown => unknownName(file, section, unknown))
  const missing = valueAt(found, issue.path) === undefined
  if (missing && key === '') return [problem(file, section, '', 'The section is missing.', 'Add it as in the example for this role in docs/operators/settings.md.')]
  if (missing) return [problem(file, section, key, 'The key is missing.', 'Add it as in the example for this role in docs/operators/settings.md.')]
  return [problem(file, section, key, `"${String(valueAt(found, issue.path.slice(0, 2)))}" does not fit.`, `Give ${issue.message}.`)]
}

function unknownName (file: string, section: string, key: string): Problem {
  if (section === '') return problem(file, key, '', 'The section is unknown.', 'Remove it or correct its name.')
  return problem(file, section, key, 'The key is unknown.', 'Remove it or correct its name.')
}

function valueAt (found: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key], found)
}

function problem (file: string, section: string, key: string, message: string, remedy: string): Problem {
  return { file, section, key, message, remedy }
}

/** `npm run capacity`: puts the tables into docs/CAPACITY.md, between their marks. */
import { readFileSync, writeFileSync } from 'node:fs'
import { figureTable, table } from './capacity.js'
import { readResults, type Figure } from './figures.js'

/** Where the page is. */
export const pageFile = new URL('../../../../docs/CAPACITY.md', import.meta.url)

/** The page with its tables made anew. */
export function filled (page: string, figures: readonly Figure[]): string {
  return between(between(page, 'table', table(figures)), 'figures', figureTable(figures))
}

function between (page: string, name: string, text: string): string {
  const [start, end] = [`<!-- ${name} -->`, `<!-- end of ${name} -->`]
  const from = page.indexOf(start)
  const to = page.indexOf(end)
  if (from < 0 || to < 0) throw new Error(`The page lacks the marks of ${name}.`)
  return `${page.slice(0, from + start.length)}\n${text}\n${page.slice(to)}`
}

if (process.argv[1]?.endsWith('page.js') === true) writeFileSync(pageFile, filled(readFileSync(pageFile, 'utf8'), readResults()))

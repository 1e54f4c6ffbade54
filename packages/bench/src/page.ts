/** `npm run capacity`: replaces the tables in docs/CAPACITY.md between their marks. */
import { readFileSync, writeFileSync } from 'node:fs'
import { figureTable, table } from './capacity.js'
import { readResults, type Figure } from './figures.js'

/** The page with the tables. */
export const pageFile = new URL('../../../../docs/CAPACITY.md', import.meta.url)

/** Returns the page with its tables computed from the figures. */
export function fillPage (page: string, figures: readonly Figure[]): string {
  return replaceSection(replaceSection(page, 'table', table(figures)), 'figures', figureTable(figures))
}

function replaceSection (page: string, name: string, text: string): string {
  const [start, end] = [`<!-- ${name} -->`, `<!-- end of ${name} -->`]
  const from = page.indexOf(start)
  const to = page.indexOf(end)
  if (from < 0 || to < 0) throw new Error(`The page lacks the marks of ${name}.`)
  return `${page.slice(0, from + start.length)}\n${text}\n${page.slice(to)}`
}

if (process.argv[1]?.endsWith('page.js') === true) writeFileSync(pageFile, fillPage(readFileSync(pageFile, 'utf8'), readResults()))

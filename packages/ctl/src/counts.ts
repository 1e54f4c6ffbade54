/** Counts by name, for the accounts that are made from log lines. */

/** The count of each name. */
export function counts<Name extends string> (names: readonly Name[], count: (name: Name) => number): Record<Name, number> {
  return Object.fromEntries(names.map(name => [name, count(name)])) as Record<Name, number>
}

/** Counts by name, for the reports that are made from log lines. */

/** Calls `count` for each name and returns the results by name. */
export function countByName<Name extends string> (names: readonly Name[], count: (name: Name) => number): Record<Name, number> {
  return Object.fromEntries(names.map(name => [name, count(name)])) as Record<Name, number>
}

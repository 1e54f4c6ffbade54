/**
 * The changes that operators can make, and their effect on the configuration. All functions are pure. `apply` returns a
 * new configuration; the `Writer` sets its revision and audit trail.
 */
import { z } from 'zod'
import { Err, Ok, type Result } from 'ts-results-es'
import { Fault } from '@eiderwind/fault'
import { Operator, Service, Team, type Configuration } from '@eiderwind/schema'

/** A change of the configuration. */
export const Change = z.discriminatedUnion('type', [
  z.object({ type: z.literal('put-service'), service: Service }),
  z.object({ type: z.literal('drop-service'), name: z.string() }),
  z.object({ type: z.literal('put-team'), team: Team }),
  z.object({ type: z.literal('drop-team'), name: z.string() }),
  z.object({ type: z.literal('put-operator'), operator: Operator }),
  z.object({ type: z.literal('drop-operator'), name: z.string() }),
  z.object({ type: z.literal('leave'), id: z.string().min(1) }),
  z.object({ type: z.literal('return'), id: z.string().min(1) })
])
export type Change = z.infer<typeof Change>

interface Named {
  readonly name: string
}

/**
 * Returns the configuration after `change`, with the same revision and audit trail, or the reason why the change is
 * invalid.
 */
export function apply (configuration: Configuration, change: Change): Result<Configuration, Fault> {
  const { services, teams, operators, leaving } = configuration
  switch (change.type) {
    case 'put-service': return Ok({ ...configuration, services: put(services, change.service) })
    case 'put-team': return Ok({ ...configuration, teams: put(teams, change.team) })
    case 'put-operator': return Ok({ ...configuration, operators: put(operators, change.operator) })
    case 'drop-service': return drop(services, change.name, 'service').map(rest => ({ ...configuration, services: rest }))
    case 'drop-team': return drop(teams, change.name, 'team').map(rest => ({ ...configuration, teams: rest }))
    case 'drop-operator': return drop(operators, change.name, 'operator').map(rest => ({ ...configuration, operators: rest }))
    case 'leave': return Ok({ ...configuration, leaving: [...new Set([...leaving, change.id])] })
    case 'return': return undoLeave(configuration, change.id)
  }
}

/** A short description of the change for the audit trail. It never contains keys or tokens. */
export function describe (change: Change): string {
  switch (change.type) {
    case 'put-service': return `put service ${change.service.name}`
    case 'put-team': return `put team ${change.team.name}, priority ${change.team.priority}, ${change.team.keys.length} keys`
    case 'put-operator': return `put operator ${change.operator.name}`
    case 'drop-service': return `drop service ${change.name}`
    case 'drop-team': return `drop team ${change.name}`
    case 'drop-operator': return `drop operator ${change.name}`
    case 'leave': return `leave ${change.id}`
    case 'return': return `return ${change.id}`
  }
}

function put<Item extends Named> (items: readonly Item[], item: Item): Item[] {
  return [...items.filter(each => each.name !== item.name), item]
}

function drop<Item extends Named> (items: readonly Item[], name: string, what: string): Result<Item[], Fault> {
  if (!items.some(each => each.name === name)) return Err(new Fault('bad-change', { detail: `There is no ${what} named ${name}.` }))
  return Ok(items.filter(each => each.name !== name))
}

function undoLeave (configuration: Configuration, id: string): Result<Configuration, Fault> {
  if (!configuration.leaving.includes(id)) return Err(new Fault('bad-change', { detail: `${id} is not marked as leaving.` }))
  return Ok({ ...configuration, leaving: configuration.leaving.filter(each => each !== id) })
}

/**
 * Formats a configuration, a status or an audit trail as lines of text for people. Programs read the JSON output
 * instead. Pure functions.
 */
import { type Audit, type Configuration, type Service, type Status } from '@eiderwind/rpc'

/** A configuration as lines of text. */
export function configurationLines ({ revision, services, teams, operators, leaving }: Configuration): string[] {
  return [
    `revision ${revision}`,
    ...services.map(serviceLine),
    ...teams.map(({ name, priority, keyDigests }) => `team ${name}: priority ${priority}, ${keyDigests.length} keys`),
    ...operators.map(({ name }) => `operator ${name}`),
    ...leaving.map(id => `leaving ${id}`)
  ]
}

/** A status as lines of text. */
export function statusLines ({ revision, platform, replicas, nodes, entries }: Status): string[] {
  return [
    `revision ${revision}, platform ${platform ? 'answers' : 'does not answer'}`,
    ...entries.map(({ id, dataCentre, live }) => `entry ${id} (${dataCentre}): ${live ? 'live' : 'silent'}`),
    ...replicas.map(each => `replica ${each.id}: ${each.serving ? 'serving' : 'not serving'}, generation ${each.generation}, version ${each.version}, ${each.running} running, ${each.queued} queued, members ${each.members.join(' ')}`),
    ...nodes.map(({ id, domain, health, service, replica, slots }) => `node ${id} (${domain}): ${health}, ${nodeUse(service, replica, slots)}`)
  ]
}

/** An audit trail as lines of text. */
export function auditLines ({ records }: Audit): string[] {
  return records.map(({ when, who, what, fromRevision, toRevision, operation }) => `${when} ${who}: ${what} (revision ${fromRevision} to ${toRevision}, operation ${operation})`)
}

function serviceLine ({ name, kind }: Service): string {
  if (kind.case === 'model') {
    const { replicas, members, version, adapters, checksOrders } = kind.value
    const extra = [adapters.length > 0 ? `adapters ${adapters.join(' ')}` : '', checksOrders ? '' : 'engine does not check orders'].filter(each => each !== '')
    return [`model ${name}: ${replicas} replicas of ${members} nodes`, `version ${version}`, ...extra].join(', ')
  }
  const once = kind.value?.routes.filter(each => !each.repeatable).map(({ method, path }) => `${method} ${path}`) ?? []
  return `plain service ${name}${once.length > 0 ? `: not repeatable ${once.join(', ')}` : ''}`
}

function nodeUse (service: string, replica: string, slots: readonly number[]): string {
  if (service !== '') return `${service}, home of slots ${slots.join(' ') || 'none'}`
  return replica === '' ? 'spare' : `in ${replica}`
}

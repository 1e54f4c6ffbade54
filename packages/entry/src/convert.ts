/**
 * Translates between the configuration and the messages of the operators' schema. Pure functions. Relies on `config` to
 * check a change.
 */
import { create } from '@bufbuild/protobuf'
import { type Result, Err, Ok } from 'ts-results-es'
import { Change } from '@eiderwind/config'
import { Fault } from '@eiderwind/fault'
import { ConfigurationSchema, type Configuration as ConfigurationMessage, type Service as ServiceMessage } from '@eiderwind/rpc'
import { type Configuration, type Service } from '@eiderwind/schema'

/** Bounds of a service whose message gives 0: requests that run at once, and requests that wait. */
const defaultConcurrency = 64
const defaultQueue = 256

/** The configuration as a message. */
export function configurationMessage ({ revision, services, teams, operators, leaving }: Configuration): ConfigurationMessage {
  return create(ConfigurationSchema, {
    revision: BigInt(revision),
    services: services.map(serviceMessage),
    teams: teams.map(({ name, priority, keys }) => ({ name, priority, keyDigests: keys })),
    operators: operators.map(({ name, token }) => ({ name, tokenDigest: token })),
    leaving
  })
}

/** Checks a change that was built from messages. Returns it, or a fault that lists what is invalid. */
export function checkedChange (parts: unknown): Result<Change, Fault> {
  const change = Change.safeParse(parts)
  if (change.success) return Ok(change.data)
  const lines = change.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`)
  return Err(new Fault('bad-change', { detail: `${lines.join('; ')}.` }))
}

/** A service from its message. The result is not checked. */
export function servicePart (message: ServiceMessage | undefined): unknown {
  if (message === undefined) return undefined
  const { name, kind } = message
  const bounds = (concurrency: number, queue: number): object => ({
    concurrency: concurrency === 0 ? defaultConcurrency : concurrency,
    queue: queue === 0 ? defaultQueue : queue
  })
  if (kind.case === 'model') {
    const { replicas, members, version, adapters, checksOrders, concurrency, queue } = kind.value
    return { kind: 'model', name, replicas, members, version, adapters, checksOrders, ...bounds(concurrency, queue) }
  }
  if (kind.case === 'plain') {
    const { routes, concurrency, queue } = kind.value
    const plain = routes.map(({ method, path, repeatable }) => ({ method, path, repeatable }))
    return { kind: 'plain', name, routes: plain, ...bounds(concurrency, queue) }
  }
  return { name }
}

function serviceMessage (service: Service): { name: string, kind: ServiceMessage['kind'] } {
  const { name, ...rest } = service
  if (rest.kind === 'model') {
    const { kind: _kind, ...value } = rest
    return { name, kind: { case: 'model', value: { $typeName: 'eiderwind.v1.ModelService', ...value } } }
  }
  const { kind: _kind, routes, ...value } = rest
  const messages = routes.map(route => ({ $typeName: 'eiderwind.v1.Route' as const, ...route }))
  return { name, kind: { case: 'plain', value: { $typeName: 'eiderwind.v1.PlainService', routes: messages, ...value } } }
}

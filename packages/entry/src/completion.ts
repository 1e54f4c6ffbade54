/**
 * Parses completion requests in the OpenAI chat format. Pure functions. Fields that are not named here are forwarded to
 * the engine unchanged.
 */
import { Err, Ok, type Result } from 'ts-results-es'
import { z } from 'zod'
import { Fault } from '@eiderwind/fault'
import { type Configuration, type ModelService } from '@eiderwind/schema'

/** The fields of a completion request that an entry reads. All others are forwarded unchanged. */
const Shape = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
  stream: z.boolean().nullish(),
  /** The text that the caller has already received, if it resumes a stream. */
  resume: z.looseObject({ text: z.string() }).optional()
})

/** A completion request. */
export type Completion = z.infer<typeof Shape>

/** Parses a completion request. The fault says what is wrong with it. */
export function readCompletion (body: Buffer): Result<Completion, Fault> {
  let value: unknown
  try {
    value = JSON.parse(body.toString())
  } catch {
    return Err(new Fault('bad-request', { detail: 'The body is not valid JSON.' }))
  }
  const shape = Shape.safeParse(value)
  if (shape.success) return Ok(shape.data)
  const [{ path, message }] = shape.error.issues
  return Err(new Fault('bad-request', { detail: `Invalid body at ${path.join('.') || 'its top level'}: ${message}.` }))
}

/** The model service that serves `model`: the one with that name, or else one with an adapter of that name. */
export function serviceOf (model: string, { services }: Configuration): ModelService | undefined {
  const models = services.filter((each): each is ModelService => each.kind === 'model')
  return models.find(each => each.name === model) ?? models.find(each => each.adapters.includes(model))
}

/** The text of a prompt that prefix affinity compares. */
export function promptText ({ messages }: Completion): string {
  return messages.map(({ role, content }) => `${role}:${typeof content === 'string' ? content : JSON.stringify(content)}`).join('\n')
}

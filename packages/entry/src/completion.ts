/**
 * Completion requests of the usual protocol, as far as an entry looks at them. Pure; what is not named here goes to the engine
 * as it came.
 */
import { Err, Ok, type Result } from 'ts-results-es'
import { z } from 'zod'
import { Fault } from '@eiderwind/fault'
import { type Configuration, type ModelService } from '@eiderwind/schema'

/** A completion request of the usual protocol, as far as the entry looks at it. The rest goes to the engine untouched. */
const Shape = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
  stream: z.boolean().nullish(),
  /** The text that the caller has already, where it goes on with a stream. */
  resume: z.looseObject({ text: z.string() }).optional()
})

/** A completion request. */
export type Completion = z.infer<typeof Shape>

/** Reads a completion request, or says what is wrong with it. */
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
  return Err(new Fault('bad-request', { detail: `In the body, ${path.join('.') || 'the whole'}: ${message}.` }))
}

/** The model service that serves `model`: the one of that name, or one with an adapter of that name. */
export function serviceOf (model: string, { services }: Configuration): ModelService | undefined {
  const models = services.filter((each): each is ModelService => each.kind === 'model')
  return models.find(each => each.name === model) ?? models.find(each => each.adapters.includes(model))
}

/** The text by which prompts are compared for prefix affinity. */
export function promptText ({ messages }: Completion): string {
  return messages.map(({ role, content }) => `${role}:${typeof content === 'string' ? content : JSON.stringify(content)}`).join('\n')
}

/** The decisions about a request: where it goes, how long it waits for room, whether it is sent again, and how it is refused. */
export { Choice, capacity, type ChoiceOptions } from './choice.js'
export { Intake, type Closure, type IntakeOptions } from './intake.js'
export { Queue } from './queue.js'
export { RetryBudget, type RetryBudgetOptions } from './budget.js'
export { decideRetry, mayMove, type MoveInputs, type RetryDecision, type RetryInputs } from './retry.js'
export { isSuccess, preferredResult, type Answered, type AttemptResult } from './result.js'
export { refusals } from './refusals.js'
export { waitForRoom, type WaitInputs } from './waiting.js'

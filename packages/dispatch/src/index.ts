/**
 * The decisions about a request: which upstream it goes to, how long it waits for room, whether it is retried, and how
 * it is refused.
 */
export { Choice, capacity, type ChoiceOptions } from './choice.js'
export { Availability, type Unavailability, type AvailabilityOptions } from './availability.js'
export { Queue, type QueuedRequest, type Shortage, type WaitHandlers } from './queue.js'
export { FairQueue } from './fairqueue.js'
export { RetryBudget, loanLifetime, type RetryBudgetOptions, type RetryCounts } from './budget.js'
export { OfferedLoad, type ModelCounts } from './offered.js'
export { streamsToMove, type MovingInputs } from './moving.js'
export { decideRetry, mayMove, type MoveInputs, type RetryDecision, type RetryInputs } from './retry.js'
export { isSuccess, preferredResult, type Answered, type AttemptResult } from './result.js'
export { refusals } from './refusals.js'
export { waitForRoom, type WaitInputs } from './waiting.js'

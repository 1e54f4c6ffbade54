/** Where a request goes: the choice of an upstream, the queue for one, and the retry budget. */
export { Choice, type ChoiceOptions } from './choice.js'
export { Queue } from './queue.js'
export { RetryBudget, type RetryBudgetOptions } from './budget.js'

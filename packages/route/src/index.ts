/** The choice of a replica for each request, the affinity of prompts to replicas, and the retry budget. */
export { load, noPreference, type Candidate, type Preference } from './candidate.js'
export { BalancedPolicy, type BalancedOptions } from './balanced.js'
export { Affinity, prefixDigests } from './affinity.js'
export { RetryBudget, type RetryBudgetOptions } from './budget.js'

/** The choice of a replica for each request, the affinity of prompts to replicas, and the retry budget. */
export { load, noPreference, type Candidate, type Preference } from './candidate.js'
export { Balanced, type BalancedOptions } from './balanced.js'
export { Affinity, prefixes } from './affinity.js'
export { Budget, type BudgetOptions } from './budget.js'

/** The choice of a replica for each request, its baselines, affinity, and the retry budget. */
export { LeastOpen, Policy, RoundRobin, TwoChoices, Uniform, load, noPreference, type Candidate, type Preference } from './policy.js'
export { Balanced, type BalancedOptions } from './balanced.js'
export { Affinity, prefixes } from './affinity.js'
export { Budget, type BudgetOptions } from './budget.js'

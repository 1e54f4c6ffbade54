/**
 * Variants of the planner's decisions for `npm run experiment`. Each is a list of edits that are applied to the built
 * code in memory. `find` must occur exactly once in the file. The tables call the code without edits `present`.
 */
const forming = 'packages/forming/dist/src'

export const variants = {
  'weights in use are forgotten when an engine leaves': [{ file: 'packages/roster/dist/src/roster.js', find: 'withWeightsInUse(record, this.#upstreams.get(record.id))', replace: 'record' }],
  'loads of spares leave room for repairs': [{ file: `${forming}/staging.js`, find: 'return { upstream, model, spare: false };\n    });\n}\n/** Sp', replace: 'return { upstream, model, spare: !pool.draft.snapshot.facts.beforeTraffic };\n    });\n}\n/** Sp' }],
  'spares load nothing before it is needed': [{ file: `${forming}/reconciler.js`, find: 'warmSpares: this.#options.warmSpares', replace: 'warmSpares: false' }],
  'spares hold one model': [{ file: `${forming}/staging.js`, find: 'facts.warmSpares ? stagingOnSpares(pool, models) : []', replace: '[]' }],
  'targets while engines still appear': [{ file: `${forming}/targets.js`, find: '!each.appearing && ', replace: '' }],
  'two replicas before more of any other': [{ file: `${forming}/targets.js`, find: 'const minReplicas = 3', replace: 'const minReplicas = 2' }],
  'four replicas before more of any other': [{ file: `${forming}/targets.js`, find: 'const minReplicas = 3', replace: 'const minReplicas = 4' }],
  'one spare in each domain': [{ file: `${forming}/targets.js`, find: 'const sparesPerDomain = 2', replace: 'const sparesPerDomain = 1' }],
  'no spare in any domain': [{ file: `${forming}/targets.js`, find: 'const sparesPerDomain = 2', replace: 'const sparesPerDomain = 0' }],
  'three spares in each domain': [{ file: `${forming}/targets.js`, find: 'const sparesPerDomain = 2', replace: 'const sparesPerDomain = 3' }],
  'engines of others at two replicas too': [{ file: `${forming}/composition.js`, find: 'const scarceReplicas = 1', replace: 'const scarceReplicas = 2' }],
  'engines without an entry are missing at once': [{ file: `${forming}/reconciler.js`, find: 'retentionTime: options.keepUnlisted', replace: 'retentionTime: 0' }],
  'engines of others never': [{ file: `${forming}/composition.js`, find: 'const scarceReplicas = 1', replace: 'const scarceReplicas = -1' }],
  'no second model on serving engines': [{ file: `${forming}/staging.js`, find: 'return [...onSpares, ...stagingOnServing(pool, models[0])]', replace: 'return onSpares' }],
  'all loads for whatever comes first': [{ file: `${forming}/permits.js`, find: 'const repairShare = 0.5', replace: 'const repairShare = 0' }]
}

import { Draft } from './draft.js'
import { Planner, type Facts, type Plan } from './facts.js'
import { wanting } from './quota.js'

/** The baseline: takes free nodes in the order of their names, and rebuilds a whole replica when it loses a node. */
export class FirstFit extends Planner {
  readonly name = 'first-fit'

  plan (domain: string, facts: Facts): Plan {
    const draft = new Draft(domain, facts)
    for (const replica of draft.replicas) {
      if (draft.lost(replica).length > 0) draft.remove('dissolve', replica)
    }
    const after = { ...facts, placements: [...facts.placements.filter(each => each.domain !== domain), draft.finish().placement] }
    for (const service of facts.services) {
      const count = wanting(service, domain, after)
      for (let index = 0; index < count; index++) {
        const members = draft.free.slice(0, service.members).map(({ node }) => node.id)
        if (members.length === service.members) draft.form(service, members)
      }
    }
    return draft.finish()
  }
}

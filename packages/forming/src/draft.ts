/**
 * The placement of one domain while a step changes it. Owns the rules for epochs and names, and the rule for which
 * replicas are lacking. Later decisions of a step are based on the changes of earlier ones.
 */
import { type Upstream } from '@eiderwind/roster'
import { type Model } from '@eiderwind/traffic'
import { type PlannedReplica, type Placement } from './placement.js'
import { type Decision } from './facts.js'
import { type Snapshot } from './snapshot.js'
import { type Counts } from './targets.js'

/** The placement with the changes of the step so far. */
export class PlacementDraft {
  readonly snapshot: Snapshot
  readonly decisions: Decision[] = []
  #placement: Placement

  constructor (snapshot: Snapshot) {
    const { arriving, placement, targets } = snapshot.facts
    this.snapshot = snapshot
    this.#placement = placement
    if (!arriving && !sameCounts(placement.targets, targets)) {
      this.#placement = { ...placement, targets }
      this.decisions.push({ note: `targets ${JSON.stringify(targets)}` })
    }
  }

  get placement (): Placement {
    return this.#placement
  }

  /** Whether the placement differs from the stored one. */
  get changed (): boolean {
    return this.#placement !== this.snapshot.facts.placement
  }

  /**
   * Models with fewer intact replicas here than planned, ordered by need, then by size, then by the order of the
   * configuration.
   */
  get lacking (): Model[] {
    const { models } = this.snapshot.facts.engine
    const need = (model: Model): number => this.snapshot.need(model.name)
    return models.filter(each => this.#countIntact(each.name) < (this.#placement.targets[each.name] ?? 0))
      .sort((a, b) => need(b) - need(a) || b.size - a.size)
  }

  /**
   * Plans a replica. Its epoch is higher than every epoch in the placement and every epoch that an engine reports. The
   * first member is the head.
   */
  form (model: Model, members: readonly Upstream[]): void {
    const reportedEpochs = this.snapshot.facts.upstreams.map(each => each.membership?.epoch ?? 0)
    const epoch = Math.max(this.#placement.epoch, ...reportedEpochs) + 1
    const { domain, replicas } = this.#placement
    const name = `${domain}.${epoch}`
    const formed = { name, model: model.name, epoch, members: members.map(({ id, address }) => ({ id, address })) }
    this.#placement = { ...this.#placement, epoch, replicas: [...replicas, formed] }
    this.decisions.push({ note: `${name} of ${model.name} formed: ${members.map(each => each.id).join(' ')}` })
  }

  /** Removes a replica from the placement, which frees its engines. */
  dissolve ({ name, model }: PlannedReplica, why: string): void {
    const replicas = this.#placement.replicas.filter(each => each.name !== name)
    this.#placement = { ...this.#placement, replicas }
    this.decisions.push({ note: `${name} of ${model} dissolved: ${why}`, dissolved: name })
  }

  /** Marks replicas as retiring: they stop serving, so that their engines can serve `model`. */
  retire (retired: readonly PlannedReplica[], model: Model): void {
    const names = new Set(retired.map(each => each.name))
    const replicas = this.#placement.replicas.map(each => names.has(each.name) ? { ...each, retiring: true } : each)
    this.#placement = { ...this.#placement, replicas }
    this.decisions.push({ note: `${[...names].join(' ')} retired for ${model.name}` })
  }

  /**
   * Intact replicas of a model in this domain that are not evacuated. A retiring replica counts until it is dissolved.
   */
  #countIntact (model: string): number {
    return this.#placement.replicas.filter(each => each.model === model && this.snapshot.isIntact(each) && !this.snapshot.isEvacuated(each)).length
  }
}

function sameCounts (a: Counts, b: Counts): boolean {
  return [...new Set([...Object.keys(a), ...Object.keys(b)])].every(name => (a[name] ?? 0) === (b[name] ?? 0))
}

/** A target whose upstreams a test chooses. */
import { refusals } from '@eiderwind/dispatch'
import { type Fault } from '@eiderwind/fault'
import { type Upstream } from '@eiderwind/roster'
import { Target } from '../src/target.js'

/** Serves requests at the upstreams that `find` returns. */
export class ScriptedTarget extends Target {
  readonly model = ''
  readonly room = undefined
  readonly work = 1
  readonly startTime = 0
  readonly upstreams = [upstream('u0')]
  /** Finds an upstream that is not in `avoided`. Returns undefined while none has room. */
  find: (avoided: ReadonlySet<string>) => Upstream | undefined = () => undefined

  choose (avoided: ReadonlySet<string>): Upstream | undefined {
    return this.find(avoided)
  }

  refusal (): Fault {
    return refusals.noRoom(this.upstreams.length)
  }

  observe (): void {}
  countRefused (): void {}
  expectFirstEvent (): undefined {}
}

/** An upstream of which only the id matters. */
export function upstream (id: string): Upstream {
  return { id } as unknown as Upstream
}

/** Ends one piece of work, instead of the process, on an exception that nobody expected. */

import type { LogFields } from '../edge/log/logger.js'
import type { Metrics } from '../edge/metrics/metrics.js'
import type { LogEvent } from '../kernel/log-events.js'

/** Kind of work that can fail by itself. */
export type Place = 'request' | 'message' | 'housekeeping' | 'follower' | 'discovery' | 'maps'

/** Pause in ms before a loop that failed runs again, and its limit: it doubles with each failure in a row. */
const PAUSE_FIRST_MS = 100
const PAUSE_MAX_MS = 5_000

/** Failures of a loop in a row after which it counts as broken, and the time in ms without one after which they are forgotten. */
const FAILURES_MAX = 5
const RECOVERED_MS = 10_000

/** Parts of a gateway that a boundary uses. */
export interface BoundaryOptions {
  readonly metrics: Pick<Metrics, 'count'>
  log (event: LogEvent, fields: LogFields): void
}

/** Boundary around all work of a gateway. */
export class Boundary {
  readonly #options: BoundaryOptions
  /** Loops that have failed too often in a row. */
  readonly #broken = new Set<Place>()

  private constructor (options: BoundaryOptions) {
    this.#options = options
  }

  /**
   * @param options - log and metrics
   * @returns a boundary without failures
   */
  static create (options: BoundaryOptions): Boundary {
    return new Boundary(options)
  }

  /** Whether each loop makes progress. */
  get isSound (): boolean {
    return this.#broken.size === 0
  }

  /**
   * Runs a piece of work.
   *
   * @param place - kind of work
   * @param work - must be complete in itself: nothing of it goes on after an exception
   * @param handleFailure - gives back what the work holds
   * @param fields - names the work in the log
   */
  run (place: Place, work: () => void, handleFailure: () => void = () => {}, fields: LogFields = {}): void {
    try {
      work()
    } catch (error) {
      this.noteFailure(place, error, fields)
      try {
        handleFailure()
      } catch (secondError) {
        this.noteFailure(place, secondError, fields)
      }
    }
  }

  /**
   * Runs a loop for the life of the process; after an exception it runs again, with a growing pause.
   *
   * @param place - kind of work
   * @param run - the loop; returns only when it has been stopped
   */
  async runLoop (place: Place, run: () => Promise<void>): Promise<void> {
    let failures = 0
    for (;;) {
      const recovered = setTimeout(() => {
        failures = 0
        this.#broken.delete(place)
      }, RECOVERED_MS)
      try {
        await run()
        return
      } catch (error) {
        failures += 1
        if (failures >= FAILURES_MAX) this.#broken.add(place)
        this.noteFailure(place, error, { failures })
        await new Promise(resolve => { setTimeout(resolve, Math.min(PAUSE_MAX_MS, PAUSE_FIRST_MS * 2 ** (failures - 1))) })
      } finally {
        clearTimeout(recovered)
      }
    }
  }

  /** Logs and counts an exception. */
  noteFailure (place: Place, error: unknown, fields: LogFields = {}): void {
    const stack = error instanceof Error ? (error.stack ?? '').split('\n').slice(1, 3).map(line => line.trim()).join(' ') : ''
    this.#options.metrics.count('internal_errors', place)
    this.#options.log('internal-error', { place, reason: String(error), stack, ...fields })
  }
}

/** Failure domains that are out of service, as the store lists them. */

import type { Change } from './store.js'

/**
 * Time in ms for which an evacuation that a store come back from an older copy does not list
 * stays in force, until the operators have written it again.
 */
export const EVACUATION_HOLD_MS = 5_000

/** Evacuations in force. */
export class EvacuationTable {
  readonly #listed = new Set<string>()
  /** Domains that are no longer listed, with the monotonic time in ms until which they stay out of service. */
  readonly #heldUntilMs = new Map<string, number>()

  private constructor () {}

  /** @returns a table without evacuations */
  static create (): EvacuationTable {
    return new EvacuationTable()
  }

  /**
   * Replaces the table with what the store lists.
   *
   * @param domains - failure domains out of service
   * @param isAfterEraChange - whether the store has come back from an older copy, which may lack acknowledged entries
   * @param nowMs - monotonic time in ms
   */
  replaceAll (domains: readonly string[], isAfterEraChange: boolean, nowMs: number): void {
    const before = [...this.#listed]
    this.#listed.clear()
    for (const domain of domains) {
      this.#listed.add(domain)
      this.#heldUntilMs.delete(domain)
    }
    if (isAfterEraChange) for (const domain of before) if (!this.#listed.has(domain)) this.#heldUntilMs.set(domain, nowMs + EVACUATION_HOLD_MS)
  }

  /** Applies changes of the store; a removal holds at once. */
  merge (changes: ReadonlyArray<Change<string>>): void {
    for (const change of changes) {
      const domain = change.kind === 'written' ? change.item : change.name
      this.#heldUntilMs.delete(domain)
      if (change.kind === 'written') this.#listed.add(domain)
      else this.#listed.delete(domain)
    }
  }

  /** Ends what is held for longer than `EVACUATION_HOLD_MS`. @returns whether anything ended */
  expire (nowMs: number): boolean {
    const ended = [...this.#heldUntilMs].filter(([, untilMs]) => untilMs <= nowMs)
    for (const [domain] of ended) this.#heldUntilMs.delete(domain)
    return ended.length > 0
  }

  /** @returns failure domains out of service */
  list (): ReadonlySet<string> {
    return new Set([...this.#listed, ...this.#heldUntilMs.keys()])
  }
}

/** Step counter and expert maps of one rank. */

import { z } from 'zod'
import type { EndpointOrder } from '../../src/kernel/effects.js'

const step = z.number().int().min(0)
const version = z.number().int().min(0)

/** Body of `POST /v1/orders`. */
export const orderCallSchema = z.strictObject({
  fence: z.number().int().min(0),
  order: z.discriminatedUnion('kind', [
    z.strictObject({ kind: z.literal('hold-at-step'), step }),
    z.strictObject({ kind: z.literal('load-map'), version, layers: z.array(z.array(z.number().int().min(0))) }),
    z.strictObject({ kind: z.literal('use-map'), version, step }),
    z.strictObject({ kind: z.literal('release-hold') })
  ])
})

/** Why an order was refused. */
export type OrderRefusal = 'old-fence' | 'step-passed' | 'map-not-loaded'

/** First step of each map version that the rank used, in order. */
export type MapHistory = readonly { readonly step: number, readonly version: number }[]

/** Step counter, hold and maps of a rank; the counter and the hold survive a crash of the engine. */
export class Rank {
  readonly #loaded = new Set<number>()
  #history: { readonly step: number, readonly version: number }[] = [{ step: 0, version: 0 }]
  #step = 0
  #holdAtStep: number | undefined
  /** Maps to be used from a later step. */
  #scheduledMaps: { readonly step: number, readonly version: number }[] = []
  /** Accepted `use-map` orders as `version/step`, to recognise repeats. */
  readonly #acceptedUses = new Set<string>()

  private constructor () {}

  /** @returns a rank at step 0 with map version 0 */
  static create (): Rank {
    return new Rank()
  }

  /** Latest step that was started. */
  get step (): number {
    return this.#step
  }

  /** Version of the map in use. */
  get mapVersion (): number {
    return this.#history.at(-1)!.version
  }

  /** @returns whether a hold blocks the next step */
  isHeld (): boolean {
    return this.#holdAtStep !== undefined && this.#step + 1 >= this.#holdAtStep
  }

  /** @returns the first step of each map version */
  listHistory (): MapHistory {
    return this.#history
  }

  /**
   * Starts the next step and switches to a map that is scheduled for it.
   *
   * @returns false when a hold blocks it
   */
  startStep (): boolean {
    if (this.isHeld()) return false
    this.#step += 1
    const next = this.#scheduledMaps.find(scheduled => scheduled.step <= this.#step)
    if (next !== undefined) {
      this.#history = [...this.#history, { ...next, step: this.#step }]
      this.#scheduledMaps = this.#scheduledMaps.filter(scheduled => scheduled !== next)
    }
    return true
  }

  /**
   * Applies an order whose fencing number was accepted.
   *
   * @param order - the order; `load-map` marks its map as loaded
   * @returns reason of a refusal; undefined when accepted
   */
  applyOrder (order: EndpointOrder): OrderRefusal | undefined {
    switch (order.kind) {
      case 'hold-at-step':
        if (order.step <= this.#step) return 'step-passed'
        this.#holdAtStep = order.step
        return undefined
      case 'load-map':
        this.#loaded.add(order.version)
        return undefined
      case 'use-map':
        // A repeat of an accepted order is accepted again, also after its step.
        if (this.#acceptedUses.has(`${order.version}/${order.step}`)) return undefined
        if (order.version !== this.mapVersion && !this.#loaded.has(order.version)) return 'map-not-loaded'
        // A rank without a map accepts one at any step; a map in use changes only at a future step.
        if (order.step <= this.#step && this.mapVersion !== 0) return 'step-passed'
        this.#acceptedUses.add(`${order.version}/${order.step}`)
        this.#scheduledMaps.push({ step: order.step, version: order.version })
        return undefined
      case 'release-hold':
        this.#holdAtStep = undefined
        return undefined
    }
  }

  /** Forgets loaded maps that are neither in use nor scheduled, as a crash does. */
  dropUnusedMaps (): void {
    this.#loaded.clear()
    for (const scheduled of this.#scheduledMaps) this.#loaded.add(scheduled.version)
  }
}

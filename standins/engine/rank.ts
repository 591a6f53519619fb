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

/** Steps, holds and maps; steps and holds outlive a crash of the engine. */
export class Rank {
  readonly #loaded = new Set<number>()
  #history: { readonly step: number, readonly version: number }[] = [{ step: 0, version: 0 }]
  #step = 0
  #holdAtStep: number | undefined
  /** Maps whose first step has not come. */
  #scheduledMaps: { readonly step: number, readonly version: number }[] = []
  /** Orders to use a map that were accepted. */
  readonly #acceptedUses = new Set<string>()

  private constructor () {}

  /** @returns a rank at step 0 with map version 0 */
  static create (): Rank {
    return new Rank()
  }

  /** Latest step that was begun. */
  get step (): number {
    return this.#step
  }

  /** Version of the map in use. */
  get mapVersion (): number {
    return this.#history.at(-1)!.version
  }

  /** @returns whether the next step is held back */
  isHeld (): boolean {
    return this.#holdAtStep !== undefined && this.#step + 1 >= this.#holdAtStep
  }

  /** @returns the first step of each map version */
  listHistory (): MapHistory {
    return this.#history
  }

  /**
   * Begins the next step.
   *
   * @returns false when it is held back
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
   * Carries out an order whose fencing number was accepted.
   *
   * @param order - the order; a map counts as loaded from here on
   * @returns why it was refused, if it was
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
        // A repeat of an order that took effect is accepted again.
        if (this.#acceptedUses.has(`${order.version}/${order.step}`)) return undefined
        if (order.version !== this.mapVersion && !this.#loaded.has(order.version)) return 'map-not-loaded'
        // A rank without a map takes one at once; a map in use changes at a step to come.
        if (order.step <= this.#step && this.mapVersion !== 0) return 'step-passed'
        this.#acceptedUses.add(`${order.version}/${order.step}`)
        this.#scheduledMaps.push({ step: order.step, version: order.version })
        return undefined
      case 'release-hold':
        this.#holdAtStep = undefined
        return undefined
    }
  }

  /** Forgets loaded maps that are neither in use nor due. */
  dropUnusedMaps (): void {
    this.#loaded.clear()
    for (const scheduled of this.#scheduledMaps) this.#loaded.add(scheduled.version)
  }
}

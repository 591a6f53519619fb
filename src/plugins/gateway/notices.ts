/** Remembers what endpoints announced about themselves in their answers to this gateway, whatever the store lists. */

import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import type { EndpointRecord } from '../../gateway/model.js'

/** Largest number of incarnations that are remembered; the oldest are forgotten first. */
const INCARNATIONS_MAX = 4_000

/** One start of an endpoint. */
export type Incarnation = Pick<EndpointRecord, 'id' | 'bornMs'>

/** What an answer announces about its endpoint. */
export interface Announcement {
  readonly isLeaving: boolean
}

/** Whether an endpoint takes requests, as far as it has said. */
export type Availability =
  | { readonly kind: 'open' }
  /** It takes no further requests until it is started again. */
  | { readonly kind: 'leaving' }

/** What is new in an announcement. */
export type NoticeChange = 'leaving'

/** Announcements of endpoints. */
export interface NoticesPort {
  /** Records what an answer announces. @returns what was not known before */
  noteAnswer (incarnation: Incarnation, announcement: Announcement): readonly NoticeChange[]
  describe (incarnation: Incarnation): Availability
  /** Forgets an endpoint that is gone and whose next start could not be told apart from it. */
  forgetUndated (id: string): void
}

/**
 * Announcements by incarnation. They outlive the entry in the store: a stale entry may
 * come back after the endpoint was removed, and a new start has another incarnation.
 */
export class NoticesPlugin implements Plugin, NoticesPort {
  readonly name = 'notices'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'notices'> = { notices: this }
  readonly #leaving = new Set<string>()

  private constructor () {}

  /** @returns a table without announcements */
  static create (): NoticesPlugin {
    return new NoticesPlugin()
  }

  handle (): void {}

  noteAnswer (incarnation: Incarnation, { isLeaving }: Announcement): readonly NoticeChange[] {
    return isLeaving && this.#noteLeaving(formatIncarnation(incarnation)) ? ['leaving'] : []
  }

  describe (incarnation: Incarnation): Availability {
    return this.#leaving.has(formatIncarnation(incarnation)) ? { kind: 'leaving' } : { kind: 'open' }
  }

  forgetUndated (id: string): void {
    this.#leaving.delete(formatIncarnation({ id, bornMs: 0 }))
  }

  #noteLeaving (key: string): boolean {
    if (this.#leaving.has(key)) return false
    this.#leaving.add(key)
    const oldest = this.#leaving.values().next().value
    if (this.#leaving.size > INCARNATIONS_MAX && oldest !== undefined) this.#leaving.delete(oldest)
    return true
  }
}

/** @returns text that identifies one start of an endpoint */
export function formatIncarnation ({ id, bornMs }: Incarnation): string {
  return `${id} ${bornMs}`
}

registerPlugin({ name: 'notices', roles: ['gateway'], create: () => NoticesPlugin.create() })

/** Remembers what endpoints announced about themselves in their answers to this gateway, whatever the store lists. */

import { assertNever } from '../../kernel/errors.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import type { EndpointRecord } from '../../gateway/model.js'

/** Largest number of incarnations that are remembered; the oldest are forgotten first. */
const INCARNATIONS_MAX = 4_000

/** Longest pause in ms that is believed; an endpoint that still wants no requests then says so again. */
export const PAUSE_MAX_MS = 60_000

/** For how long an endpoint that has refused a request wants no others from this gateway. */
export type PauseStatement =
  | { readonly kind: 'none' }
  | { readonly kind: 'time', readonly ms: number }
  /** It names no time, or one that cannot be read. */
  | { readonly kind: 'ignored', readonly text: string }

/** One start of an endpoint. */
export type Incarnation = Pick<EndpointRecord, 'id' | 'bornMs'>

/** What an answer announces about its endpoint. */
export interface Announcement {
  readonly isLeaving: boolean
  readonly pause: PauseStatement
}

/** Whether an endpoint takes requests, as far as it has said. */
export type Availability =
  | { readonly kind: 'open' }
  /** It takes no further requests until it is started again. */
  | { readonly kind: 'leaving' }
  /** It takes requests again at `untilMs` in monotonic ms. */
  | { readonly kind: 'paused', readonly untilMs: number }

/** What is new in an announcement. */
export type NoticeChange = 'leaving' | 'paused' | 'pause-capped' | 'pause-ignored'

/** Announcements of endpoints. */
export interface NoticesPort {
  /** Records what an answer announces. @returns what was not known before */
  noteAnswer (incarnation: Incarnation, announcement: Announcement, nowMs: number): readonly NoticeChange[]
  describe (incarnation: Incarnation, nowMs: number): Availability
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
  /** Ends of pauses in monotonic ms. */
  readonly #pausedUntilMs = new Map<string, number>()
  /** Incarnations of which a pause was reported that is ignored, as every refusal may have it. */
  readonly #ignored = new Set<string>()

  private constructor () {}

  /** @returns a table without announcements */
  static create (): NoticesPlugin {
    return new NoticesPlugin()
  }

  handle (): void {}

  noteAnswer (incarnation: Incarnation, { isLeaving, pause }: Announcement, nowMs: number): readonly NoticeChange[] {
    const key = formatIncarnation(incarnation)
    return [...isLeaving && addBounded(this.#leaving, key) ? ['leaving' as const] : [], ...this.#notePause(key, pause, nowMs)]
  }

  describe (incarnation: Incarnation, nowMs: number): Availability {
    if (this.#leaving.size === 0 && this.#pausedUntilMs.size === 0) return { kind: 'open' }
    const key = formatIncarnation(incarnation)
    if (this.#leaving.has(key)) return { kind: 'leaving' }
    const untilMs = this.#pausedUntilMs.get(key)
    return untilMs !== undefined && nowMs < untilMs ? { kind: 'paused', untilMs } : { kind: 'open' }
  }

  forgetUndated (id: string): void {
    const key = formatIncarnation({ id, bornMs: 0 })
    this.#leaving.delete(key)
    this.#pausedUntilMs.delete(key)
  }

  /** Answers may overtake each other, so that one never shortens the pause that another has named. */
  #notePause (key: string, pause: PauseStatement, nowMs: number): readonly NoticeChange[] {
    switch (pause.kind) {
      case 'none': return []
      case 'ignored': return addBounded(this.#ignored, key) ? ['pause-ignored'] : []
      case 'time': break
      default: return assertNever(pause)
    }
    const knownMs = this.#pausedUntilMs.get(key) ?? -Infinity
    const untilMs = nowMs + Math.min(pause.ms, PAUSE_MAX_MS)
    if (untilMs <= Math.max(knownMs, nowMs)) return []
    if (knownMs === -Infinity) this.#prunePauses(nowMs)
    this.#pausedUntilMs.set(key, untilMs)
    if (nowMs < knownMs) return []
    return pause.ms > PAUSE_MAX_MS ? ['paused', 'pause-capped'] : ['paused']
  }

  #prunePauses (nowMs: number): void {
    if (this.#pausedUntilMs.size < INCARNATIONS_MAX) return
    for (const [key, untilMs] of this.#pausedUntilMs) if (untilMs <= nowMs) this.#pausedUntilMs.delete(key)
  }
}

/** Adds a key and drops the oldest when there are too many. @returns whether the key is new */
function addBounded (keys: Set<string>, key: string): boolean {
  if (keys.has(key)) return false
  keys.add(key)
  const oldest = keys.values().next().value
  if (keys.size > INCARNATIONS_MAX && oldest !== undefined) keys.delete(oldest)
  return true
}

/** @returns text that identifies one start of an endpoint */
export function formatIncarnation ({ id, bornMs }: Incarnation): string {
  return `${id} ${bornMs}`
}

registerPlugin({ name: 'notices', roles: ['gateway'], create: () => NoticesPlugin.create() })

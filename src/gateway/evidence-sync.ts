/**
 * Keeps the evidence of crashes of a gateway complete: it asks the others when it starts,
 * before it sends any request, and when it finds a gateway that it had not been hearing.
 */

import type { GatewayContext } from './context.js'
import type { GatewayLink } from './link.js'

/** Number of gateways asked at a time, as some of those that the store lists may be gone. */
const ASKED_MAX = 8

/** Time in ms after the list of gateways was read, or after the start when it cannot be, for which a gateway waits for an answer. */
const ANSWER_WAIT_MS = 300
const START_WAIT_MS = 3_000

/** Shortest time in ms between requests after gateways were found again; when a partition ends, many are. */
const REJOIN_INTERVAL_MS = 1_000

/** Shortest time in ms for which changed evidence is repeated in heartbeats, and the number of heartbeats when they are rare. */
const REPEAT_MS = 3_000
const REPEAT_HEARTBEATS = 3

/** Dependencies of `EvidenceSync`. */
export interface EvidenceSyncOptions {
  readonly context: Pick<GatewayContext, 'getNowMs' | 'isInformed' | 'log' | 'pickFloat'>
  readonly link: Pick<GatewayLink, 'listTargets' | 'requestEvidence'>
}

/** Requests for the evidence of other gateways. */
export class EvidenceSync {
  readonly #context: EvidenceSyncOptions['context']
  readonly #link: EvidenceSyncOptions['link']
  readonly #startedAtMs: number
  #listedAtMs: number | undefined
  #rejoinedAtMs = -Infinity

  private constructor ({ context, link }: EvidenceSyncOptions) {
    this.#context = context
    this.#link = link
    this.#startedAtMs = context.getNowMs()
    context.isInformed = false
  }

  /**
   * @param options - context, which counts as uninformed from now on, and link
   * @returns a synchronization that has not asked any gateway
   */
  static create (options: EvidenceSyncOptions): EvidenceSync {
    return new EvidenceSync(options)
  }

  /** Records that the list of gateways was read. */
  noteListed (): void {
    this.#listedAtMs ??= this.#context.getNowMs()
    this.runHousekeeping()
  }

  /** Records an answer. */
  noteTable (crashes: number): void {
    if (!this.#context.isInformed) this.#finish('answer', crashes)
  }

  /** Asks a gateway that was not heard before, or not lately, what it knows. */
  noteJoined (id: string): void {
    const nowMs = this.#context.getNowMs()
    if (nowMs - this.#rejoinedAtMs < REJOIN_INTERVAL_MS) return
    this.#rejoinedAtMs = nowMs
    this.#link.requestEvidence([id])
  }

  /** Asks again while no gateway has answered. */
  runHousekeeping (): void {
    if (this.#context.isInformed) return
    const nowMs = this.#context.getNowMs()
    const targets = this.#link.listTargets()
    if (this.#listedAtMs !== undefined && targets.length === 0) this.#finish('alone', 0)
    else if (nowMs - (this.#listedAtMs ?? Infinity) > ANSWER_WAIT_MS || nowMs - this.#startedAtMs > START_WAIT_MS) this.#finish('no-answer', 0)
    else this.#link.requestEvidence(this.#pickTargets(targets))
  }

  #pickTargets (targets: readonly string[]): readonly string[] {
    const first = Math.floor(this.#context.pickFloat() * targets.length)
    return [...targets.slice(first), ...targets.slice(0, first)].slice(0, ASKED_MAX)
  }

  #finish (reason: string, crashes: number): void {
    this.#context.isInformed = true
    this.#context.log('evidence-synced', { reason, crashes, waitedMs: Math.round(this.#context.getNowMs() - this.#startedAtMs) })
  }
}

/**
 * @param heartbeatIntervalMs - time between heartbeats in ms
 * @returns time in ms for which changed evidence is repeated in heartbeats
 */
export function computeRepeatMs (heartbeatIntervalMs: number): number {
  return Math.max(REPEAT_MS, REPEAT_HEARTBEATS * heartbeatIntervalMs)
}

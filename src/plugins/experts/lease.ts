import type { PlatformResult } from '../../kernel/events.js'
import type { Context } from '../../kernel/plugin.js'
import { formatLeaseKey, parseLease } from './record.js'
import type { LeaseValue } from './record.js'

/** Time for which a lease is valid after the last renewal was sent, in ms. */
export const LEASE_MS = 30_000
/** Time between renewals, and between reads by a candidate that does not hold the lease, in ms. */
export const RENEW_INTERVAL_MS = 10_000
/** Time before others may take over at which a holder stops, in ms. */
export const LEASE_MARGIN_MS = 2_000
/** Least time until the next attempt after a conflict or a failed call, in ms. */
export const LEASE_RETRY_MS = 1_000
/** Time after which the outcome of a lease call without an answer counts as unknown, in ms. */
const CALL_TIMEOUT_MS = 5_000

/** Part of the kernel's context that a lease uses. */
export type LeaseContext = Pick<Context, 'nowMs' | 'random' | 'emit' | 'self'>

/** Complete state of a lease; plain data. */
export interface LeaseState {
  readonly held: boolean
  readonly fence: number
  readonly revision: number
  /** Time since which the revision has not changed. */
  readonly unchangedSinceMs: number
  readonly validUntilMs: number
  readonly nextCallAtMs: number
  readonly calls: number
  readonly call?: { readonly id: string, readonly sentAtMs: number, readonly writes?: LeaseValue }
}

/** Initial state of a lease. */
export const INITIAL_LEASE: LeaseState = {
  held: false, fence: 0, revision: -1, unchangedSinceMs: 0, validUntilMs: 0, nextCallAtMs: 0, calls: 0
}

/**
 * Lease of one group's holder. Each process measures on its own clock how long the
 * revision of the lease object has not changed, so no clocks are compared. The lease
 * keeps two holders from interfering with each other; no decision relies on it,
 * because a holder may be paused beyond its end at any point.
 */
export class Lease {
  readonly #group: string
  #state: LeaseState

  private constructor (group: string, state: LeaseState) {
    this.#group = group
    this.#state = state
  }

  /**
   * @param group - name of the group
   * @param state - state to continue from
   * @returns the lease
   */
  static create (group: string, state: LeaseState = INITIAL_LEASE): Lease {
    return new Lease(group, state)
  }

  /** @returns the complete state */
  getState (): LeaseState {
    return this.#state
  }

  /**
   * @param nowMs - monotonic time in ms
   * @returns whether this process may act as the holder
   */
  isHeld (nowMs: number): boolean {
    return this.#state.held && nowMs < this.#state.validUntilMs
  }

  /**
   * Renews the lease, or reads whether it is free.
   *
   * @param isCandidate - whether this entry should try to acquire the lease; a holder that should not releases it
   * @param context - time, random numbers, effects and identity
   */
  handleTick (isCandidate: boolean, context: LeaseContext): void {
    const { held, call, nextCallAtMs, validUntilMs, fence, revision } = this.#state
    if (held && context.nowMs >= validUntilMs) this.#lose(context)
    if (call !== undefined) {
      if (context.nowMs - call.sentAtMs < CALL_TIMEOUT_MS) return
      this.#removeCall()
    }
    if (context.nowMs < nextCallAtMs) return
    if (this.#state.held) this.#write({ holder: context.self.id, incarnation: context.self.incarnation, fence, released: !isCandidate }, revision, context)
    else if (isCandidate) this.#read(context)
  }

  /**
   * Handles the platform's answer to a call.
   *
   * @param callId - id of the call
   * @param result - the answer
   * @param context - time, random numbers, effects and identity
   */
  handlePlatform (callId: string, result: PlatformResult, context: LeaseContext): void {
    const call = this.#state.call
    if (call?.id !== callId) return
    this.#removeCall()
    this.#update({ nextCallAtMs: context.nowMs + LEASE_RETRY_MS + context.random.pickInt(LEASE_RETRY_MS) })
    switch (result.kind) {
      case 'found':
        this.#handleFound(result.value, result.revision, context)
        return
      case 'missing':
        this.#write({ holder: context.self.id, incarnation: context.self.incarnation, fence: 1, released: false }, 0, context)
        return
      case 'written':
        if (call.writes !== undefined) this.#handleWritten(call.writes, result.revision, call.sentAtMs, context)
        return
      case 'conflict':
        // Another process took over, or an earlier write whose answer was lost took effect.
        this.#lose(context)
        return
      case 'unavailable':
      case 'unknown':
        if (this.#state.held && call.writes !== undefined) this.#read(context)
    }
  }

  #handleFound (value: string, revision: number, context: LeaseContext): void {
    const { self, nowMs } = context
    const lease = parseLease(value)
    if (lease === undefined) return
    const hasChanged = revision !== this.#state.revision
    this.#update({ revision, unchangedSinceMs: hasChanged ? nowMs : this.#state.unchangedSinceMs })
    const isOwn = lease.holder === self.id
    if (isOwn && lease.incarnation === self.incarnation && !lease.released) {
      this.#write(lease, revision, context)
    } else if (lease.released || isOwn || nowMs - this.#state.unchangedSinceMs >= LEASE_MS) {
      this.#write({ holder: self.id, incarnation: self.incarnation, fence: lease.fence + 1, released: false }, revision, context)
    } else {
      if (this.#state.held) this.#lose(context)
      const untilFreeMs = this.#state.unchangedSinceMs + LEASE_MS - nowMs
      this.#update({ nextCallAtMs: nowMs + Math.min(RENEW_INTERVAL_MS, untilFreeMs) })
    }
  }

  #handleWritten (lease: LeaseValue, revision: number, sentAtMs: number, context: LeaseContext): void {
    const isNewlyHeld = !this.#state.held
    this.#update({
      held: !lease.released,
      fence: lease.fence,
      revision,
      unchangedSinceMs: context.nowMs,
      validUntilMs: sentAtMs + LEASE_MS - LEASE_MARGIN_MS,
      nextCallAtMs: sentAtMs + RENEW_INTERVAL_MS
    })
    if (lease.released) context.emit({ kind: 'log', event: 'lease-lost', fields: { group: this.#group, fence: lease.fence } })
    else if (isNewlyHeld) context.emit({ kind: 'log', event: 'lease-acquired', fields: { group: this.#group, fence: lease.fence } })
  }

  #lose (context: LeaseContext): void {
    if (!this.#state.held) return
    this.#update({ held: false, unchangedSinceMs: context.nowMs, revision: -1 })
    context.emit({ kind: 'log', event: 'lease-lost', fields: { group: this.#group, fence: this.#state.fence } })
  }

  #read (context: LeaseContext): void {
    const id = this.#noteCall(context)
    context.emit({ kind: 'platform-call', callId: id, operation: { kind: 'read', key: formatLeaseKey(this.#group) } })
  }

  #write (value: LeaseValue, revision: number, context: LeaseContext): void {
    const id = this.#noteCall(context, value)
    context.emit({ kind: 'platform-call', callId: id, operation: { kind: 'write', key: formatLeaseKey(this.#group), value: JSON.stringify(value), revision } })
  }

  #noteCall (context: LeaseContext, writes?: LeaseValue): string {
    const calls = this.#state.calls + 1
    const id = `lease/${this.#group}/${calls}`
    this.#update({ calls, call: { id, sentAtMs: context.nowMs, ...(writes === undefined ? {} : { writes }) } })
    return id
  }

  #removeCall (): void {
    const { call: _call, ...rest } = this.#state
    this.#state = rest
  }

  #update (change: Partial<LeaseState>): void {
    this.#state = { ...this.#state, ...change }
  }
}

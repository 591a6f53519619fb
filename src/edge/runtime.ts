/**
 * Runs a kernel: passes events and the current time to it and applies its effects.
 */

import type { Effect, PlatformOperation } from '../kernel/effects.js'
import type { KernelEvent, PlatformResult } from '../kernel/events.js'
import type { Kernel } from '../kernel/kernel.js'
import type { PlatformClient } from './platform/client.js'
import type { Logger } from './log/logger.js'
import { countLogEvent } from './metrics/log-counters.js'
import type { Metrics } from './metrics/metrics.js'
import type { PeerHub } from './peer/hub.js'
import { getNowMs } from './clock.js'

/** Interval of the kernel's `tick` event in ms. */
export const TICK_INTERVAL_MS = 100

/** What a runtime is created with. */
export interface RuntimeOptions {
  readonly kernel: Kernel
  readonly hub: PeerHub
  readonly platform: PlatformClient
  readonly logger: Logger
  readonly metrics: Metrics
  /** Applies the effects that only one role has. */
  readonly handleRoleEffect: (effect: Effect) => void
  /** Called once when a planned leave is finished. */
  readonly handleLeaveFinished: () => void
}

/** Runs one kernel on the process's event loop. */
export class Runtime {
  readonly #options: RuntimeOptions
  readonly #queue: KernelEvent[] = []
  #running = false
  #timer: NodeJS.Timeout | undefined

  private constructor (options: RuntimeOptions) {
    this.#options = options
  }

  /**
   * @param options - kernel and what its effects are applied to
   * @returns a runtime whose timer is not started
   */
  static create (options: RuntimeOptions): Runtime {
    return new Runtime(options)
  }

  /** Starts the `tick` timer. */
  start (): void {
    let expectedMs = performance.now() + TICK_INTERVAL_MS
    this.#timer = setInterval(() => {
      const nowMs = performance.now()
      this.#options.metrics.observe('loop_delay_ms', Math.max(0, nowMs - expectedMs))
      expectedMs = nowMs + TICK_INTERVAL_MS
      this.dispatch({ kind: 'tick' })
    }, TICK_INTERVAL_MS)
  }

  /** Stops the `tick` timer. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /**
   * Passes an event to the kernel and applies the effects. An event that is
   * dispatched while effects are being applied is queued until they are done.
   *
   * @param event - what happened
   */
  dispatch (event: KernelEvent): void {
    this.#queue.push(event)
    if (this.#running) return
    this.#running = true
    try {
      for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
        for (const effect of this.#options.kernel.dispatch(next, getNowMs())) this.#applyEffect(effect)
      }
    } finally {
      this.#running = false
    }
  }

  #applyEffect (effect: Effect): void {
    const { hub, logger, metrics } = this.#options
    switch (effect.kind) {
      case 'send':
        hub.send(effect.peer, effect.message)
        return
      case 'connect':
        hub.connect(effect.peer, effect.address)
        return
      case 'disconnect':
        hub.disconnect(effect.peer)
        return
      case 'platform-call':
        this.#runPlatformCall(effect)
        return
      case 'log':
        logger.write(effect.event, effect.fields)
        countLogEvent(effect.event, effect.fields, metrics)
        return
      case 'count':
        metrics.count(effect.metric, effect.label)
        return
      case 'observe':
        metrics.observe(effect.metric, effect.value, effect.label)
        return
      case 'leave-finished':
        this.#options.handleLeaveFinished()
        return
      default:
        this.#options.handleRoleEffect(effect)
    }
  }

  async #runPlatformCall ({ operation, callId }: Extract<Effect, { kind: 'platform-call' }>): Promise<void> {
    const result = await this.#runOperation(operation).catch((error: unknown): PlatformResult => {
      this.#options.logger.write('internal-error', { reason: String(error) })
      return { kind: 'unavailable' }
    })
    this.dispatch({ kind: 'platform-answered', callId, result })
  }

  /** @throws RangeError when the value is larger than `VALUE_MAX_BYTES` */
  async #runOperation (operation: PlatformOperation): Promise<PlatformResult> {
    const { platform } = this.#options
    return operation.kind === 'read'
      ? await platform.read(operation.key)
      : await platform.write(operation.key, operation.value, operation.revision)
  }
}

/** Admission at an endpoint process: what waits, what starts, what is refused. */

import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin, PluginOptions } from '../../kernel/plugin.js'
import type { AdmissionPort, Ports } from '../../kernel/ports.js'
import type { Submit } from '../../protocol/messages.js'

class Admission implements Plugin, AdmissionPort {
  readonly name = 'admission'
  readonly subscribesTo = ['work-offered', 'endpoint-ended', 'endpoint-failed', 'endpoint-reported', 'endpoint-crashed', 'tick'] as const
  readonly ports: Partial<Ports> = { admission: this }
  readonly #waiting = new Map<string, Submit>()
  readonly #running = new Set<string>()
  #cap = 0
  #healthy = true

  static create (_options: PluginOptions): Admission {
    return new Admission()
  }

  describeState (): ReturnType<AdmissionPort['describeState']> {
    return { running: this.#running.size, queued: this.#waiting.size, cap: this.#cap, warmth: 1, healthy: this.#healthy }
  }

  removeWaiting (workId: string): boolean {
    return this.#waiting.delete(workId)
  }

  handle (event: KernelEvent, context: Context): void {
    this.#cap = context.port('configuration').findEndpoint(context.self.id)?.warmCap ?? 0
    if (event.kind === 'work-offered') this.#handleOffer(event.work, context)
    if (event.kind === 'endpoint-ended' || event.kind === 'endpoint-failed') this.#running.delete(event.workId)
    if (event.kind === 'endpoint-reported') this.#healthy = event.report.healthy
    if (event.kind === 'endpoint-crashed') this.#healthy = false
    this.#startNext(context)
  }

  #handleOffer (work: Submit, context: Context): void {
    if (this.#waiting.size >= work.terms.queueMax) {
      context.raise({ kind: 'work-refused', workId: work.workId, error: 'overloaded', outcome: 'not-run', retryAfterMs: 1000 })
      return
    }
    this.#waiting.set(work.workId, work)
    context.raise({ kind: 'work-queued', workId: work.workId, queued: this.#waiting.size - 1, waitMs: 0 })
  }

  #startNext (context: Context): void {
    for (const work of this.#waiting.values()) {
      if (!this.#healthy || this.#running.size >= this.#cap) return
      this.#waiting.delete(work.workId)
      this.#running.add(work.workId)
      context.emit({ kind: 'run', work })
      context.raise({ kind: 'work-started', workId: work.workId })
    }
  }
}

registerPlugin({ name: 'admission', roles: ['endpoint'], create: options => Admission.create(options) })

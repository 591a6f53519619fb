/** Requests that crash endpoints: strikes, their spread, refusal at two. */

import { StrikeTable } from './strike-table.js'
import type { StrikeList } from './strike-table.js'
import { WorkTracker } from './work-tracker.js'
import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin } from '../../kernel/plugin.js'
import type { Ports, QuarantinePort } from '../../kernel/ports.js'

/** Peers to which news from another process is sent on. */
const FANOUT = 4
/** Requests in one message. */
const REQUESTS_PER_MESSAGE = 100
/** Interval in ms at which one peer gets the latest strikes, for news that was lost. */
const REPEAT_MS = 10_000

const KINDS = [
  'tick', 'peer-connected', 'message-received', 'work-offered', 'work-started', 'work-refused',
  'endpoint-ended', 'endpoint-failed', 'endpoint-crashed'
] as const satisfies readonly KernelEvent['kind'][]

/** Strikes as this process knows them. */
export class QuarantinePlugin implements Plugin, QuarantinePort {
  readonly name = 'quarantine'
  readonly subscribesTo = KINDS
  readonly ports: Partial<Ports> = { quarantine: this }
  readonly #book = StrikeTable.create()
  readonly #flights = WorkTracker.create()
  #repeatAtMs = 0

  private constructor () {}

  /** @returns the plug-in without strikes */
  static create (): QuarantinePlugin {
    return new QuarantinePlugin()
  }

  isRefused (fingerprint: string): boolean { return this.#book.isQuarantined(fingerprint) }
  isSuspect (fingerprint: string): boolean { return this.#book.isSuspect(fingerprint) }
  isSuspectInFlight (): boolean { return this.#flights.listInFlight().some(fingerprint => this.#book.isSuspect(fingerprint)) }

  handle (event: KernelEvent, context: Context): void {
    switch (event.kind) {
      case 'tick': return this.#handleTick(context)
      case 'peer-connected': return this.#send([event.peer.id], this.#book.listLatest(REQUESTS_PER_MESSAGE), context)
      case 'message-received':
        if (event.message.kind === 'strikes') this.#handleStrikes(event.peer.id, event.message.strikes, context)
        return
      case 'work-offered': return this.#flights.addWaiting(event.work, context.nowMs)
      case 'work-started': return this.#flights.noteStarted(event.workId)
      case 'work-refused':
        this.#flights.remove(event.workId)
        return
      case 'endpoint-ended': return this.#handleEnded(event.workId, context)
      case 'endpoint-failed': return this.#flights.noteFailed(event.workId, context.nowMs)
      case 'endpoint-crashed': return this.#handleCrash(event.crashId, context)
    }
  }

  #handleTick (context: Context): void {
    this.#flights.removeExpired(context.nowMs)
    if (context.nowMs < this.#repeatAtMs || this.#book.size === 0) return
    this.#repeatAtMs = context.nowMs + REPEAT_MS
    this.#book.removeExpired(context.nowMs)
    this.#send(pickPeers(1, '', context), this.#book.listLatest(REQUESTS_PER_MESSAGE), context)
  }

  #handleEnded (workId: string, context: Context): void {
    const fingerprint = this.#flights.remove(workId)
    if (fingerprint !== undefined) this.#addOwn(this.#book.listClearedStrikes(fingerprint), context)
  }

  /**
   * Each request in flight gets a strike. With two or more suspects among them
   * the crash cannot be attributed, so only the others get one.
   */
  #handleCrash (crashId: string, context: Context): void {
    const crashed = this.#flights.takeInFlight(context.nowMs)
    const suspects = crashed.filter(fingerprint => this.isSuspect(fingerprint))
    const struck = suspects.length > 1 ? crashed.filter(fingerprint => !this.isSuspect(fingerprint)) : crashed
    context.emit({ kind: 'count', metric: 'crashes' })
    struck.forEach(() => { context.emit({ kind: 'count', metric: 'strikes' }) })
    context.emit({ kind: 'log', event: 'endpoint-crashed', fields: { crash: crashId, inFlight: crashed.length, suspects: suspects.length } })
    // An endpoint that names no start gives the same id to each of its crashes.
    const crash = `${crashId}@${context.self.incarnation}.${Math.round(context.nowMs)}`
    this.#addOwn(struck.map(fingerprint => ({ fingerprint, crashes: [crash], cleared: false })), context)
  }

  #addOwn (strikes: StrikeList, context: Context): void {
    const news = this.#book.add(strikes, context.nowMs)
    this.#writeLog(news, context)
    this.#send(context.port('membership').listPeers().map(peer => peer.process.id), news, context)
  }

  #handleStrikes (from: string, strikes: StrikeList, context: Context): void {
    const news = this.#book.add(strikes.slice(0, 2 * REQUESTS_PER_MESSAGE), context.nowMs)
    if (news.length === 0) return
    this.#writeLog(news, context)
    this.#send(pickPeers(FANOUT, from, context), news, context)
  }

  #writeLog (news: StrikeList, context: Context): void {
    for (const { fingerprint, cleared } of news) {
      const event = cleared ? 'suspect-cleared' : this.isRefused(fingerprint) ? 'request-quarantined' : 'request-suspected'
      context.emit({ kind: 'log', event, fields: { fingerprint } })
    }
  }

  #send (peers: readonly string[], strikes: StrikeList, context: Context): void {
    if (strikes.length === 0) return
    for (const peer of peers) context.emit({ kind: 'send', peer, message: { kind: 'strikes', strikes } })
  }
}

function pickPeers (count: number, except: string, context: Context): readonly string[] {
  const ids = context.port('membership').listPeers().map(peer => peer.process.id).filter(id => id !== except)
  const picked: string[] = []
  while (picked.length < count && ids.length > 0) picked.push(...ids.splice(context.random.pickInt(ids.length), 1))
  return picked
}

registerPlugin({ name: 'quarantine', roles: ['entry', 'endpoint'], create: () => QuarantinePlugin.create() })

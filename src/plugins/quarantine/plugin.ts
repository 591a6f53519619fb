/** Quarantine of requests that crash endpoints: counts their strikes, gossips them, and refuses a request with two. */

import { StrikeTable } from './strike-table.js'
import type { StrikeList } from './strike-table.js'
import { WorkTracker } from './work-tracker.js'
import type { KernelEvent } from '../../kernel/events.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Context, Plugin } from '../../kernel/plugin.js'
import type { Ports, QuarantinePort } from '../../kernel/ports.js'

/** Count of peers to which new strikes of another process are forwarded. */
const GOSSIP_FANOUT = 4
/** Largest count of requests in one message. */
const REQUESTS_PER_MESSAGE = 100
/** Interval in ms at which the latest strikes are resent to a random peer, in case messages were lost. */
const RESEND_INTERVAL_MS = 10_000

const SUBSCRIBED_EVENTS = [
  'tick', 'peer-connected', 'message-received', 'work-offered', 'work-started', 'work-refused',
  'endpoint-ended', 'endpoint-failed', 'endpoint-crashed'
] as const satisfies readonly KernelEvent['kind'][]

/** Tracks strikes against requests and shares them with peers. */
export class QuarantinePlugin implements Plugin, QuarantinePort {
  readonly name = 'quarantine'
  readonly subscribesTo = SUBSCRIBED_EVENTS
  readonly ports: Partial<Ports> = { quarantine: this }
  readonly #strikes = StrikeTable.create()
  readonly #workTracker = WorkTracker.create()
  #nextResendAtMs = 0

  private constructor () {}

  /** @returns the plug-in without strikes */
  static create (): QuarantinePlugin {
    return new QuarantinePlugin()
  }

  isQuarantined (fingerprint: string): boolean { return this.#strikes.isQuarantined(fingerprint) }
  isSuspect (fingerprint: string): boolean { return this.#strikes.isSuspect(fingerprint) }
  isSuspectInFlight (): boolean { return this.#workTracker.listInFlight().some(fingerprint => this.#strikes.isSuspect(fingerprint)) }

  handle (event: KernelEvent, context: Context): void {
    switch (event.kind) {
      case 'tick': return this.#handleTick(context)
      case 'peer-connected': return this.#send([event.peer.id], this.#strikes.listLatest(REQUESTS_PER_MESSAGE), context)
      case 'message-received':
        if (event.message.kind === 'strikes') this.#handleStrikes(event.peer.id, event.message.strikes, context)
        return
      case 'work-offered': return this.#workTracker.addWaiting(event.work, context.nowMs)
      case 'work-started': return this.#workTracker.noteStarted(event.workId)
      case 'work-refused':
        this.#workTracker.remove(event.workId)
        return
      case 'endpoint-ended': return this.#handleEnded(event.workId, context)
      case 'endpoint-failed': return this.#workTracker.noteFailed(event.workId, context.nowMs)
      case 'endpoint-crashed': return this.#handleCrash(event.crashId, context)
    }
  }

  #handleTick (context: Context): void {
    this.#workTracker.removeExpired(context.nowMs)
    if (context.nowMs < this.#nextResendAtMs || this.#strikes.size === 0) return
    this.#nextResendAtMs = context.nowMs + RESEND_INTERVAL_MS
    this.#strikes.removeExpired(context.nowMs)
    this.#send(pickPeers(1, '', context), this.#strikes.listLatest(REQUESTS_PER_MESSAGE), context)
  }

  #handleEnded (workId: string, context: Context): void {
    const fingerprint = this.#workTracker.remove(workId)
    if (fingerprint !== undefined) this.#addAndBroadcast(this.#strikes.listClearedStrikes(fingerprint), context)
  }

  /**
   * Gives each request in flight a strike. With two or more suspects among them
   * the crash cannot be attributed to one, so only the other requests get one.
   */
  #handleCrash (crashId: string, context: Context): void {
    const crashed = this.#workTracker.takeInFlight(context.nowMs)
    const suspects = crashed.filter(fingerprint => this.isSuspect(fingerprint))
    const toStrike = suspects.length > 1 ? crashed.filter(fingerprint => !this.isSuspect(fingerprint)) : crashed
    context.emit({ kind: 'count', metric: 'crashes' })
    toStrike.forEach(() => { context.emit({ kind: 'count', metric: 'strikes' }) })
    context.emit({ kind: 'log', event: 'endpoint-crashed', fields: { crash: crashId, inFlight: crashed.length, suspects: suspects.length } })
    // An endpoint that reports no start id uses the same id for each crash; incarnation and time make it unique.
    const crash = `${crashId}@${context.self.incarnation}.${Math.round(context.nowMs)}`
    this.#addAndBroadcast(toStrike.map(fingerprint => ({ fingerprint, crashes: [crash], cleared: false })), context)
  }

  #addAndBroadcast (strikes: StrikeList, context: Context): void {
    const added = this.#strikes.add(strikes, context.nowMs)
    this.#logStrikes(added, context)
    this.#send(context.getPort('membership').listPeers().map(peer => peer.process.id), added, context)
  }

  #handleStrikes (from: string, strikes: StrikeList, context: Context): void {
    const added = this.#strikes.add(strikes.slice(0, 2 * REQUESTS_PER_MESSAGE), context.nowMs)
    if (added.length === 0) return
    this.#logStrikes(added, context)
    this.#send(pickPeers(GOSSIP_FANOUT, from, context), added, context)
  }

  #logStrikes (added: StrikeList, context: Context): void {
    for (const { fingerprint, cleared } of added) {
      const event = cleared ? 'suspect-cleared' : this.isQuarantined(fingerprint) ? 'request-quarantined' : 'request-suspected'
      context.emit({ kind: 'log', event, fields: { fingerprint } })
    }
  }

  #send (peers: readonly string[], strikes: StrikeList, context: Context): void {
    if (strikes.length === 0) return
    for (const peer of peers) context.emit({ kind: 'send', peer, message: { kind: 'strikes', strikes } })
  }
}

function pickPeers (count: number, excluded: string, context: Context): readonly string[] {
  const ids = context.getPort('membership').listPeers().map(peer => peer.process.id).filter(id => id !== excluded)
  const picked: string[] = []
  while (picked.length < count && ids.length > 0) picked.push(...ids.splice(context.random.pickInt(ids.length), 1))
  return picked
}

registerPlugin({ name: 'quarantine', roles: ['entry', 'endpoint'], create: () => QuarantinePlugin.create() })

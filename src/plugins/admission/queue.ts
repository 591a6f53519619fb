/** Queue of waiting work: priority classes, with start-time fair queueing between teams by weight. */

import type { PriorityClass, Submit } from '../../protocol/messages.js'
import { FairTags } from './fair-tags.js'

/** At least one of this many starts goes to a lower priority class while work of one is waiting. */
const LOWER_CLASS_EVERY = 8

const PRIORITY_CLASSES: readonly PriorityClass[] = ['urgent', 'normal', 'background']

/** Work in the queue. */
export interface WaitingWork {
  readonly work: Submit
  readonly offeredAtMs: number
  readonly deadlineAtMs: number
  /** Start tag in virtual time; work with the lowest tag of its class starts first. */
  readonly startTag: number
}

/** The waiting work of one endpoint. */
export class Queue {
  readonly #waiting = new Map<string, WaitingWork>()
  readonly #classes: Readonly<Record<PriorityClass, FairTags>> = { urgent: FairTags.create(), normal: FairTags.create(), background: FairTags.create() }
  #startsSinceLower = 0

  private constructor () {}

  /** @returns an empty queue */
  static create (): Queue {
    return new Queue()
  }

  get size (): number { return this.#waiting.size }

  list (): readonly WaitingWork[] { return [...this.#waiting.values()] }

  /**
   * @param work - work to add after the waiting work of its team
   * @param nowMs - monotonic time in ms
   * @returns the queued work with its deadline and start tag
   */
  add (work: Submit, nowMs: number): WaitingWork {
    const startTag = this.#classes[work.terms.priority].add(work.team, 1 / work.teamWeight)
    const waiting = { work, offeredAtMs: nowMs, deadlineAtMs: nowMs + work.timeLeftMs, startTag }
    this.#waiting.set(work.workId, waiting)
    return waiting
  }

  /** @returns whether the work was waiting */
  remove (workId: string): boolean {
    const waiting = this.#waiting.get(workId)
    if (waiting === undefined) return false
    this.#waiting.delete(workId)
    const { team, teamWeight, terms } = waiting.work
    this.#classes[terms.priority].remove(team, waiting.startTag, 1 / teamWeight)
    return true
  }

  countByProfile (profile: string): number {
    return this.list().filter(({ work }) => work.terms.profile === profile).length
  }

  /**
   * @param work - work offered now
   * @returns count of waiting work that would start before it
   */
  countAhead (work: Submit): number {
    const classIndex = PRIORITY_CLASSES.indexOf(work.terms.priority)
    const startTag = this.#classes[work.terms.priority].computeStartTag(work.team)
    return this.list().filter(other => {
      const otherClassIndex = PRIORITY_CLASSES.indexOf(other.work.terms.priority)
      return otherClassIndex < classIndex || (otherClassIndex === classIndex && other.startTag <= startTag)
    }).length
  }

  /**
   * Finds work to evict from a full queue: the newest work of the team that has
   * the most work waiting relative to its weight, if that is more than the
   * offering team would have. Without eviction one team could fill the queue and
   * have the work of all others refused.
   *
   * @param work - the offered work
   * @returns the work to refuse instead of the offered work; undefined when no other team exceeds the share of the offering team
   */
  findEvictable (work: Submit): WaitingWork | undefined {
    const shares = new Map<string, number>()
    const sameProfile = this.list().filter(other => other.work.terms.profile === work.terms.profile)
    for (const { work: { team, teamWeight } } of sameProfile) shares.set(team, (shares.get(team) ?? 0) + 1 / teamWeight)
    const [team, share] = [...shares].reduce((most, next) => next[1] > most[1] ? next : most, ['', 0])
    if (team === work.team || share <= (shares.get(work.team) ?? 0) + 1 / work.teamWeight) return undefined
    return sameProfile.findLast(other => other.work.team === team)
  }

  /**
   * Chooses the next work to start.
   *
   * @param isEligible - whether the work may start now; work that may not is skipped
   * @returns the next work; undefined when no work may start
   */
  chooseNext (isEligible: (waiting: WaitingWork) => boolean): WaitingWork | undefined {
    const eligible = this.list().filter(isEligible)
    const topClass = PRIORITY_CLASSES.find(name => eligible.some(({ work }) => work.terms.priority === name))
    const lower = eligible.filter(({ work }) => work.terms.priority !== topClass)
    if (lower.length > 0 && this.#startsSinceLower >= LOWER_CLASS_EVERY - 1) return pickLeast(lower, ({ offeredAtMs }) => offeredAtMs)
    return pickLeast(eligible.filter(({ work }) => work.terms.priority === topClass), ({ startTag }) => startTag)
  }

  /** Removes work that starts now and advances the virtual time of its class. */
  removeStarted (started: WaitingWork): void {
    const classIndex = PRIORITY_CLASSES.indexOf(started.work.terms.priority)
    this.#waiting.delete(started.work.workId)
    const waiting = this.list()
    const hasHigher = waiting.some(({ work }) => PRIORITY_CLASSES.indexOf(work.terms.priority) < classIndex)
    const hasLower = waiting.some(({ work }) => PRIORITY_CLASSES.indexOf(work.terms.priority) > classIndex)
    this.#startsSinceLower = hasHigher || !hasLower ? 0 : this.#startsSinceLower + 1
    this.#classes[started.work.terms.priority].noteStarted(started.startTag)
  }
}

function pickLeast (list: readonly WaitingWork[], compute: (waiting: WaitingWork) => number): WaitingWork | undefined {
  return list.reduce<WaitingWork | undefined>((least, next) => least === undefined || compute(next) < compute(least) ? next : least, undefined)
}

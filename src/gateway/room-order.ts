/** Order of the requests that wait for a slot: found without comparing all of them, as many wait under overload. */

import { assertNever } from '../kernel/errors.js'

/** A request that waits for a slot. */
export interface RoomWait {
  readonly requestId: string
  readonly service: string
  /** Empty when requests belong to no team. */
  readonly team: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly tokens: number
  /** Whether its caller was refused before. */
  readonly isReturned: boolean
  /** Monotonic time in ms of the latest start with which the answer is on time. */
  readonly onTimeUntilMs: number
  /** Monotonic time in ms of the latest start before the caller leaves. */
  readonly untilMs: number
}

/** How useful the start of a request still is. */
export type WaitClass = 'on-time' | 'returned' | 'late'

/** A request with its place. */
export interface OrderedWait {
  readonly wait: RoomWait
  /** Monotonic time in ms; never lower than that of requests added before. */
  readonly enteredAtMs: number
  /** Turn of its team among requests of its priority. */
  readonly startTag: number
}

export function classify ({ isReturned, onTimeUntilMs }: RoomWait, nowMs: number): WaitClass {
  return isReturned ? 'returned' : nowMs < onTimeUntilMs ? 'on-time' : 'late'
}

/** Late requests start last. Callers that were refused before start after those of their priority that can be on time, and before any less urgent one. */
export function compareClass (a: RoomWait, b: RoomWait, nowMs: number): number {
  const [first, second] = [classify(a, nowMs), classify(b, nowMs)]
  if ((first === 'late') !== (second === 'late')) return first === 'late' ? 1 : -1
  if (a.priority !== b.priority) return a.priority - b.priority
  return rankClass(first) - rankClass(second)
}

/** Requests of one service. Time must not go back from one call to the next. */
export class RoomOrder<T extends OrderedWait> {
  /** Numbers of the requests, rising in the order in which they were added. */
  readonly #numbers = new Map<T, number>()
  readonly #countByPriority = new Map<number, number>()
  /** Requests that are not late, and those that are. */
  readonly #prompt = SortedList.create<T>((a, b) => a.wait.priority - b.wait.priority || Number(a.wait.isReturned) - Number(b.wait.isReturned) || this.#compareTurns(a, b))
  readonly #late = SortedList.create<T>((a, b) => a.wait.priority - b.wait.priority || this.#compareTurns(a, b))
  /** Requests that become late, by the time at which they do. */
  readonly #byLateness = SortedList.create<T>((a, b) => a.wait.onTimeUntilMs - b.wait.onTimeUntilMs || this.#compareNumbers(a, b))
  /** All requests by the time until which they can start. */
  readonly #byEnd = SortedList.create<T>((a, b) => a.wait.untilMs - b.wait.untilMs || this.#compareNumbers(a, b))
  #added = 0

  private constructor () {}

  /** @returns an order without requests */
  static create<T extends OrderedWait> (): RoomOrder<T> {
    return new RoomOrder<T>()
  }

  get size (): number {
    return this.#numbers.size
  }

  has (waiter: T): boolean {
    return this.#numbers.has(waiter)
  }

  /** Whether a request of a priority waits. */
  hasPriority (priority: number): boolean {
    return this.#countByPriority.has(priority)
  }

  /** @returns all requests in the order in which they were added */
  list (): Iterable<T> {
    return this.#numbers.keys()
  }

  add (waiter: T): void {
    const { wait } = waiter
    this.#added += 1
    this.#numbers.set(waiter, this.#added)
    this.#countByPriority.set(wait.priority, (this.#countByPriority.get(wait.priority) ?? 0) + 1)
    this.#byEnd.add(waiter)
    this.#prompt.add(waiter)
    if (!wait.isReturned) this.#byLateness.add(waiter)
  }

  /** Removes a request that waits. */
  remove (waiter: T): void {
    if (!this.#numbers.has(waiter)) return
    if (this.#prompt.remove(waiter)) this.#byLateness.remove(waiter)
    else this.#late.remove(waiter)
    this.#byEnd.remove(waiter)
    this.#numbers.delete(waiter)
    const left = this.#countByPriority.get(waiter.wait.priority)! - 1
    if (left === 0) this.#countByPriority.delete(waiter.wait.priority)
    else this.#countByPriority.set(waiter.wait.priority, left)
  }

  /** @returns the request that starts first: by class and priority, then by the turns of the teams, then by the time at which it was added */
  findFirst (nowMs: number): T | undefined {
    this.#advance(nowMs)
    return this.#prompt.first ?? this.#late.first
  }

  /** @returns the request that has waited longest; of those that were added at the same time the one that starts first */
  findOldest (nowMs: number): T | undefined {
    this.#advance(nowMs)
    let oldest: T | undefined
    for (const waiter of this.#numbers.keys()) {
      if (oldest !== undefined && waiter.enteredAtMs > oldest.enteredAtMs) break
      if (oldest === undefined || (compareClass(waiter.wait, oldest.wait, nowMs) || this.#compareTurns(waiter, oldest)) < 0) oldest = waiter
    }
    return oldest
  }

  /** @returns the requests whose latest start has passed, in the order in which they were added */
  listEnded (nowMs: number): readonly T[] {
    return this.#byEnd.listWhile(({ wait }) => wait.untilMs <= nowMs).sort((a, b) => this.#compareNumbers(a, b))
  }

  /** Moves the requests that have become late. */
  #advance (nowMs: number): void {
    for (let next = this.#byLateness.first; next !== undefined && next.wait.onTimeUntilMs <= nowMs; next = this.#byLateness.first) {
      this.#byLateness.remove(next)
      this.#prompt.remove(next)
      this.#late.add(next)
    }
  }

  #compareTurns (a: T, b: T): number {
    return a.startTag - b.startTag || a.enteredAtMs - b.enteredAtMs || this.#compareNumbers(a, b)
  }

  #compareNumbers (a: T, b: T): number {
    return this.#numbers.get(a)! - this.#numbers.get(b)!
  }
}

/** Items in a total order. */
class SortedList<T> {
  readonly #items: T[] = []
  readonly #compare: (a: T, b: T) => number

  private constructor (compare: (a: T, b: T) => number) {
    this.#compare = compare
  }

  /** @param compare - gives 0 only for an item and itself */
  static create<T> (compare: (a: T, b: T) => number): SortedList<T> {
    return new SortedList<T>(compare)
  }

  get first (): T | undefined {
    return this.#items[0]
  }

  add (item: T): void {
    this.#items.splice(this.#findPlace(item), 0, item)
  }

  /** @returns whether the item was in the list */
  remove (item: T): boolean {
    const place = this.#findPlace(item)
    if (this.#items[place] !== item) return false
    this.#items.splice(place, 1)
    return true
  }

  /** @returns the items before the first that does not match */
  listWhile (matches: (item: T) => boolean): T[] {
    const end = this.#items.findIndex(item => !matches(item))
    return this.#items.slice(0, end === -1 ? this.#items.length : end)
  }

  /** @returns index of the first item that does not come before the given one */
  #findPlace (item: T): number {
    let [low, high] = [0, this.#items.length]
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.#compare(this.#items[middle]!, item) < 0) low = middle + 1
      else high = middle
    }
    return low
  }
}

function rankClass (waitClass: WaitClass): number {
  switch (waitClass) {
    case 'on-time': return 0
    case 'returned': return 1
    case 'late': return 2
    default: return assertNever(waitClass)
  }
}

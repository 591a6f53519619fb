/** Counts events in sliding time windows. */

/** Sliding window made of buckets. May count up to one bucket too many, never too few. */
export class SlidingWindow {
  readonly #bucketMs: number
  readonly #counts: number[]
  #bucket = 0
  #sum = 0

  private constructor (lengthMs: number, buckets: number) {
    this.#bucketMs = lengthMs / buckets
    // One additional bucket covers a window that starts inside a bucket.
    this.#counts = new Array<number>(buckets + 1).fill(0)
  }

  /**
   * @param lengthMs - length of the window in ms
   * @param buckets - number of buckets that the length is divided into
   * @returns an empty window
   */
  static create (lengthMs: number, buckets = 10): SlidingWindow {
    return new SlidingWindow(lengthMs, buckets)
  }

  /**
   * @param nowMs - monotonic time in ms
   * @param count - events to add
   */
  add (nowMs: number, count = 1): void {
    this.#advance(nowMs)
    this.#counts[this.#bucket % this.#counts.length]! += count
    this.#sum += count
  }

  /** @returns number of events in the window that ends at `nowMs` */
  count (nowMs: number): number {
    this.#advance(nowMs)
    return this.#sum
  }

  #advance (nowMs: number): void {
    const bucket = Math.floor(nowMs / this.#bucketMs)
    const steps = Math.min(bucket - this.#bucket, this.#counts.length)
    for (let step = 1; step <= steps; step += 1) {
      const index = (this.#bucket + step) % this.#counts.length
      this.#sum -= this.#counts[index]!
      this.#counts[index] = 0
    }
    if (steps === this.#counts.length) this.#sum = 0
    if (bucket > this.#bucket) {
      if (steps === this.#counts.length) this.#counts.fill(0)
      this.#bucket = bucket
    }
  }
}

/** Sliding windows by name, created on first use. */
export class NamedWindows {
  readonly #lengthMs: number
  readonly #windows = new Map<string, SlidingWindow>()

  private constructor (lengthMs: number) {
    this.#lengthMs = lengthMs
  }

  /**
   * @param lengthMs - length of each window in ms
   * @returns an empty set of windows
   */
  static create (lengthMs: number): NamedWindows {
    return new NamedWindows(lengthMs)
  }

  /** @returns number of events in the window with this name; creates none */
  count (name: string, nowMs: number): number {
    return this.#windows.get(name)?.count(nowMs) ?? 0
  }

  /** @returns the window with this name */
  get (name: string): SlidingWindow {
    let window = this.#windows.get(name)
    if (window === undefined) {
      window = SlidingWindow.create(this.#lengthMs)
      this.#windows.set(name, window)
    }
    return window
  }
}

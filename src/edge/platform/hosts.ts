/** Reads the platform's list of hosts periodically. */

import type { KernelEvent } from '../../kernel/events.js'
import type { PlatformClient } from './client.js'

/**
 * Mean interval between reads in ms. With 610 entries this makes 122 reads per
 * second, 6 % of the platform's rate limit. The list itself lags by seconds.
 */
const READ_INTERVAL_MS = 5_000

/** What a reader is created with. */
export interface HostListReaderOptions {
  readonly platform: PlatformClient
  readonly dispatch: (event: KernelEvent) => void
}

/** Dispatches the hosts that the platform lists as live and as leaving to the kernel. */
export class HostListReader {
  readonly #options: HostListReaderOptions
  #timer: NodeJS.Timeout | undefined

  private constructor (options: HostListReaderOptions) {
    this.#options = options
  }

  /**
   * @param options - platform client and event dispatch
   * @returns a reader that is not started
   */
  static create (options: HostListReaderOptions): HostListReader {
    return new HostListReader(options)
  }

  /** Starts reading. The interval is randomized so that entries do not read at the same time. */
  start (): void {
    this.#timer = setTimeout(() => {
      this.#read().finally(() => { if (this.#timer !== undefined) this.start() })
    }, READ_INTERVAL_MS * (0.5 + Math.random()))
  }

  /** Stops reading. */
  stop (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
  }

  /** Ignores an empty list, which a platform returns when it has just started. */
  async #read (): Promise<void> {
    const hosts = await this.#options.platform.listHosts()
    if (hosts === undefined || hosts.live.length + hosts.leaving.length === 0) return
    this.#options.dispatch({ kind: 'hosts-listed', ...hosts })
  }
}

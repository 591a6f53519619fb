/** Reads the platform's list of hosts at regular times. */

import type { KernelEvent } from '../../kernel/events.js'
import type { PlatformClient } from './client.js'

/**
 * Mean interval of reads in ms. At 610 entries it makes 122 reads a second, 6 %
 * of the platform's rate; the list itself lags by seconds.
 */
const READ_INTERVAL_MS = 5_000

/** What a reader is created with. */
export interface HostListReaderOptions {
  readonly platform: PlatformClient
  readonly dispatch: (event: KernelEvent) => void
}

/** Tells the kernel which hosts the platform lists as live and as leaving. */
export class HostListReader {
  readonly #options: HostListReaderOptions
  #timer: NodeJS.Timeout | undefined

  private constructor (options: HostListReaderOptions) {
    this.#options = options
  }

  /**
   * @param options - platform and where to send what was read
   * @returns a reader that is not started
   */
  static create (options: HostListReaderOptions): HostListReader {
    return new HostListReader(options)
  }

  /** Starts reading; the interval is random so that entries do not read together. */
  start (): void {
    this.#timer = setTimeout(() => {
      this.#read().finally(() => { if (this.#timer !== undefined) this.start() })
    }, READ_INTERVAL_MS * (0.5 + Math.random()))
  }

  /** Ends reading. */
  stop (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
  }

  /** An empty list tells nothing: a platform that lists no host has just started. */
  async #read (): Promise<void> {
    const hosts = await this.#options.platform.listHosts()
    if (hosts === undefined || hosts.live.length + hosts.leaving.length === 0) return
    this.#options.dispatch({ kind: 'hosts-listed', ...hosts })
  }
}

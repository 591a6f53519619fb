/** Reads the configuration from the platform and watches for newer ones. */

import { ROOT_KEY, formatPartKey } from '../../kernel/configuration.js'
import type { ConfigurationRoot } from '../../kernel/configuration.js'
import type { KernelEvent } from '../../kernel/events.js'
import type { ConfigurationPort, MembershipPort } from '../../kernel/ports.js'
import type { PlatformClient } from './client.js'

/** Time in which peers may give the configuration before the platform is read, in ms. */
const PEER_GRACE_MS = 500

/** Mean interval in which a process without any configuration reads, in ms. */
const READ_INTERVAL_MS = 1_000

/** Interval in which it is checked whether this process should watch, in ms. */
const WATCH_CHECK_INTERVAL_MS = 1_000

/** Source of configurations that came from the platform, in logs. */
const PLATFORM_SOURCE = 'platform'

/** What a reader is created with. */
export interface ConfigurationReaderOptions {
  readonly platform: PlatformClient
  readonly configuration: ConfigurationPort
  readonly membership: MembershipPort
  readonly dispatch: (event: KernelEvent) => void
  /** Told by the watch when the platform stops answering and when it answers again. */
  readonly handleState: (state: 'lost' | 'found') => void
}

/**
 * Only the entries that membership names as watchers hold a watch, since each
 * waiting watch counts against the platform's rate; all others get newer
 * configurations from peers.
 */
export class ConfigurationReader {
  readonly #options: ConfigurationReaderOptions
  readonly #timers: NodeJS.Timeout[] = []
  #stopWatch: (() => void) | undefined
  #reading = false
  #needsAnotherRead = false

  private constructor (options: ConfigurationReaderOptions) {
    this.#options = options
  }

  /**
   * @param options - platform and where to send what was read
   * @returns a reader that is not started
   */
  static create (options: ConfigurationReaderOptions): ConfigurationReader {
    return new ConfigurationReader(options)
  }

  /** Reads while no peer gave a configuration, and watches while membership asks for it. */
  start (): void {
    const readIfEmpty = (): void => { if (this.#getVersion() === 0) this.#read() }
    this.#timers.push(setTimeout(readIfEmpty, PEER_GRACE_MS))
    this.#timers.push(setInterval(readIfEmpty, READ_INTERVAL_MS * (1 + Math.random())))
    this.#timers.push(setInterval(() => { this.#updateWatch() }, WATCH_CHECK_INTERVAL_MS))
  }

  /** Ends the watch. */
  stop (): void {
    for (const timer of this.#timers) clearTimeout(timer)
    this.#stopWatch?.()
  }

  #getVersion (): number {
    return this.#options.configuration.getCurrent().version
  }

  #updateWatch (): void {
    const shouldWatch = this.#options.membership.isWatcher()
    if (shouldWatch && this.#stopWatch === undefined) {
      this.#stopWatch = this.#options.platform.watch(ROOT_KEY, () => { this.#read() }, this.#options.handleState)
      this.#read()
    } else if (!shouldWatch) {
      this.#stopWatch?.()
      this.#stopWatch = undefined
    }
  }

  /** Reads the root and missing parts; a call during a read leads to one more read. */
  #read (): void {
    if (this.#reading) {
      this.#needsAnotherRead = true
      return
    }
    this.#reading = true
    this.#readOnce().finally(() => {
      this.#reading = false
      if (this.#needsAnotherRead) {
        this.#needsAnotherRead = false
        this.#read()
      }
    })
  }

  async #readOnce (): Promise<void> {
    const { platform, configuration, dispatch } = this.#options
    const rootResult = await platform.read(ROOT_KEY)
    if (rootResult.kind !== 'found') return
    const root = JSON.parse(rootResult.value) as ConfigurationRoot
    if (root.version <= this.#getVersion()) return
    const heldHashes = new Set(configuration.listPartHashes())
    const parts: [string, string][] = []
    for (const [name, hash] of Object.entries(root.parts)) {
      if (heldHashes.has(hash)) continue
      const partResult = await platform.read(formatPartKey(name, hash))
      if (partResult.kind !== 'found') return
      parts.push([hash, partResult.value])
    }
    dispatch({ kind: 'configuration-read', root: rootResult.value, parts, source: PLATFORM_SOURCE })
  }
}

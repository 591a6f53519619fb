/** Reads the configuration from the platform and watches it for newer versions. */

import { ROOT_KEY, formatPartKey } from '../../kernel/configuration.js'
import type { ConfigurationRoot } from '../../kernel/configuration.js'
import type { KernelEvent } from '../../kernel/events.js'
import type { ConfigurationPort, MembershipPort } from '../../kernel/ports.js'
import type { PlatformClient } from './client.js'

/** Time that peers have to send the configuration before it is read from the platform, in ms. */
const PEER_GRACE_MS = 500

/** Shortest interval between reads by a process that has no configuration yet, in ms; each process uses a random one up to twice as long. */
const READ_INTERVAL_MS = 1_000

/** Interval of the check whether this process should watch the platform, in ms. */
const WATCH_CHECK_INTERVAL_MS = 1_000

/** Name of the platform as the source of a configuration in logs. */
const PLATFORM_SOURCE = 'platform'

/** What a reader is created with. */
export interface ConfigurationReaderOptions {
  readonly platform: PlatformClient
  readonly configuration: ConfigurationPort
  readonly membership: MembershipPort
  readonly dispatch: (event: KernelEvent) => void
  /** Called when the platform stops responding to the watch and when it responds again. */
  readonly handleState: (state: 'lost' | 'found') => void
}

/**
 * Reads the configuration at the start and watches it for changes. Only the entries
 * that membership selects as watchers hold a watch, since each open watch counts
 * against the platform's rate limit; all others get newer versions from peers.
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
   * @param options - platform client, ports and event dispatch
   * @returns a reader that is not started
   */
  static create (options: ConfigurationReaderOptions): ConfigurationReader {
    return new ConfigurationReader(options)
  }

  /** Starts reading until a configuration is in force, and watching while membership selects this process as a watcher. */
  start (): void {
    const readIfEmpty = (): void => { if (this.#getVersion() === 0) this.#read() }
    this.#timers.push(setTimeout(readIfEmpty, PEER_GRACE_MS))
    this.#timers.push(setInterval(readIfEmpty, READ_INTERVAL_MS * (1 + Math.random())))
    this.#timers.push(setInterval(() => { this.#updateWatch() }, WATCH_CHECK_INTERVAL_MS))
  }

  /** Stops the timers and the watch. */
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

  /** Reads the root and missing parts. Calls during a read lead to one more read after it. */
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

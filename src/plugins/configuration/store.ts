/** The configuration in force with the texts that are needed to serve peers. */

import { EMPTY_CONFIGURATION, assembleConfiguration } from '../../kernel/document.js'
import type { Configuration, ConfigurationRoot } from '../../kernel/document.js'
import { hashPart } from '../../kernel/hash.js'
import type { ConfigurationPort } from '../../kernel/ports.js'
import { ConfigurationTables } from './tables.js'

/** Root and parts as JSON texts. */
export interface ConfigurationTexts {
  readonly root: string
  readonly parts: readonly (readonly [hash: string, json: string])[]
}

/** What became of an offered configuration. */
export type Acceptance =
  | { readonly kind: 'accepted', readonly version: number }
  | { readonly kind: 'ignored', readonly version: number }
  | { readonly kind: 'rejected', readonly reason: string }

/** Holds one configuration; its version only rises. */
export class ConfigurationStore {
  #current: Configuration = EMPTY_CONFIGURATION
  #tables = ConfigurationTables.create(EMPTY_CONFIGURATION)
  #inForceSinceMs = 0
  #root: string | undefined
  #parts: ReadonlyMap<string, string> = new Map()
  readonly port: ConfigurationPort

  private constructor () {
    this.port = {
      getCurrent: () => this.#current,
      getInForceSinceMs: () => this.#inForceSinceMs,
      findService: name => this.#tables.services.get(name),
      findServiceByModel: model => this.#tables.models.get(model),
      findProfile: name => this.#tables.profiles.get(name),
      findTeam: name => this.#tables.teams.get(name),
      findEndpoint: id => this.#tables.endpoints.get(id),
      listEndpoints: service => this.#tables.endpointsByService.get(service) ?? [],
      isInService: ({ domain, host }) => this.#tables.domainsIn.has(domain) && !this.#tables.drainingHosts.has(host),
      listPartHashes: () => [...this.#parts.keys()]
    }
  }

  /** @returns a store with the empty configuration, version 0 */
  static create (): ConfigurationStore {
    return new ConfigurationStore()
  }

  /** @returns the version in force */
  getVersion (): number {
    return this.#current.version
  }

  /**
   * Takes an assembled configuration when it is newer. Peers are not served
   * from it because its texts are unknown.
   *
   * @param configuration - the offer
   * @param nowMs - monotonic time in ms
   * @returns what became of it
   */
  acceptAssembled (configuration: Configuration, nowMs: number): Acceptance {
    if (configuration.version <= this.#current.version) return { kind: 'ignored', version: configuration.version }
    this.#apply(configuration, nowMs)
    this.#root = undefined
    return { kind: 'accepted', version: configuration.version }
  }

  /**
   * Takes a root and its parts when they are newer, whole and match their hashes.
   *
   * @param texts - root and the parts that were not held yet
   * @param nowMs - monotonic time in ms
   * @returns what became of it
   */
  acceptTexts (texts: ConfigurationTexts, nowMs: number): Acceptance {
    let root: ConfigurationRoot
    try {
      root = JSON.parse(texts.root) as ConfigurationRoot
    } catch {
      return { kind: 'rejected', reason: 'the root is not JSON' }
    }
    if (!Number.isSafeInteger(root.version)) return { kind: 'rejected', reason: 'the root has no version' }
    if (root.version <= this.#current.version) return { kind: 'ignored', version: root.version }
    const known = new Map(this.#parts)
    for (const [hash, json] of texts.parts) {
      if (hashPart(json) !== hash) return { kind: 'rejected', reason: `part ${hash} does not match its hash` }
      known.set(hash, json)
    }
    const held = new Map<string, string>()
    const parsed = new Map<string, unknown>()
    try {
      for (const [name, hash] of Object.entries(root.parts)) {
        const json = known.get(hash)
        if (json === undefined) return { kind: 'rejected', reason: `part ${name} is missing` }
        held.set(hash, json)
        parsed.set(name, JSON.parse(json))
      }
      this.#apply(assembleConfiguration(root, parsed), nowMs)
    } catch {
      return { kind: 'rejected', reason: 'a part is malformed' }
    }
    this.#root = texts.root
    this.#parts = held
    return { kind: 'accepted', version: root.version }
  }

  /**
   * @param hashes - hashes of the parts that the receiver holds
   * @returns the texts that the receiver lacks; undefined when none are held here
   */
  findTexts (hashes: readonly string[]): ConfigurationTexts | undefined {
    if (this.#root === undefined) return undefined
    const has = new Set(hashes)
    return { root: this.#root, parts: [...this.#parts].filter(([hash]) => !has.has(hash)) }
  }

  #apply (configuration: Configuration, nowMs: number): void {
    this.#tables = ConfigurationTables.create(configuration)
    this.#current = configuration
    this.#inForceSinceMs = nowMs
  }
}

/** The configuration in force, with the JSON texts that are needed to serve pulls of peers. */

import { EMPTY_CONFIGURATION, assembleConfiguration } from '../../kernel/configuration.js'
import type { Configuration, ConfigurationRoot } from '../../kernel/configuration.js'
import { hashPart } from '../../kernel/hash.js'
import type { ConfigurationPort } from '../../kernel/ports.js'
import type { TextDelta } from '../../protocol/messages.js'
import { applyDelta, computeDelta } from './delta.js'
import { ConfigurationTables } from './tables.js'

/** Length of the hash prefix that identifies a part in a pull; 64 bits do not collide among a few hundred parts. */
const SHORT_HASH_DIGITS = 16

/** Largest count of replaced parts that are kept to send deltas to peers that still have them. */
const REPLACED_PARTS_MAX = 32

/** Root, parts and deltas of parts as JSON texts. */
export interface ConfigurationTexts {
  readonly root: string
  readonly parts: readonly (readonly [hash: string, json: string])[]
  readonly deltas?: readonly TextDelta[]
}

interface ReplacedPart {
  readonly name: string
  readonly hash: string
  readonly json: string
}

/** Result of offering a configuration to the store. */
export type AcceptResult =
  | { readonly kind: 'accepted', readonly version: number }
  | { readonly kind: 'ignored', readonly version: number }
  | { readonly kind: 'rejected', readonly reason: string }

/** Stores the configuration in force; its version only increases. */
export class ConfigurationStore {
  #current: Configuration = EMPTY_CONFIGURATION
  #tables = ConfigurationTables.create(EMPTY_CONFIGURATION)
  #inForceSinceMs = 0
  #root: string | undefined
  #parts: ReadonlyMap<string, string> = new Map()
  /** Parsed content by hash, so that a new version only parses the parts that changed. */
  #contentByHash: ReadonlyMap<string, unknown> = new Map()
  /** Part names by hash. */
  #nameByHash: ReadonlyMap<string, string> = new Map()
  #replaced: readonly ReplacedPart[] = []
  readonly port: ConfigurationPort

  private constructor () {
    this.port = {
      getCurrent: () => this.#current,
      getInForceSinceMs: () => this.#inForceSinceMs,
      findService: name => this.#tables.services.get(name),
      findServiceByModel: model => this.#tables.servicesByModel.get(model),
      findProfile: name => this.#tables.profiles.get(name),
      findTeam: name => this.#tables.teams.get(name),
      findEndpoint: id => this.#tables.endpoints.get(id),
      listEndpoints: service => this.#tables.endpointsByService.get(service) ?? [],
      isInService: ({ domain, host }) => this.#tables.domainsInService.has(domain) && !this.#tables.drainingHosts.has(host),
      listPartHashes: () => [...this.#parts.keys()]
    }
  }

  /** @returns a store with the empty configuration, version 0 */
  static create (): ConfigurationStore {
    return new ConfigurationStore()
  }

  /** @returns the configuration version in force */
  getVersion (): number {
    return this.#current.version
  }

  /**
   * Accepts an assembled configuration if it is newer. It cannot be sent to peers,
   * because its JSON texts are unknown.
   *
   * @param configuration - the offered configuration
   * @param nowMs - monotonic time in ms
   * @returns whether it was accepted, ignored or rejected
   */
  acceptAssembled (configuration: Configuration, nowMs: number): AcceptResult {
    if (configuration.version <= this.#current.version) return { kind: 'ignored', version: configuration.version }
    this.#apply(configuration, nowMs)
    this.#root = undefined
    return { kind: 'accepted', version: configuration.version }
  }

  /**
   * Accepts a root and its parts if they are newer, complete and match their hashes.
   *
   * @param texts - root, and the parts or deltas that are not stored yet
   * @param nowMs - monotonic time in ms
   * @returns whether they were accepted, ignored or rejected
   */
  acceptTexts (texts: ConfigurationTexts, nowMs: number): AcceptResult {
    let root: ConfigurationRoot
    try {
      root = JSON.parse(texts.root) as ConfigurationRoot
    } catch {
      return { kind: 'rejected', reason: 'the root is not JSON' }
    }
    if (!Number.isSafeInteger(root.version)) return { kind: 'rejected', reason: 'the root has no version' }
    if (root.version <= this.#current.version) return { kind: 'ignored', version: root.version }
    const available = new Map(this.#parts)
    for (const [hash, json] of [...texts.parts, ...this.#resolveDeltas(texts.deltas ?? [])]) {
      if (hashPart(json) !== hash) return { kind: 'rejected', reason: `part ${hash} does not match its hash` }
      available.set(hash, json)
    }
    const nameByHash = new Map<string, string>()
    const newParts = new Map<string, string>()
    const contentByName = new Map<string, unknown>()
    try {
      for (const [name, hash] of Object.entries(root.parts)) {
        const json = available.get(hash)
        if (json === undefined) return { kind: 'rejected', reason: `part ${name} is missing` }
        nameByHash.set(hash, name)
        newParts.set(hash, json)
        contentByName.set(name, this.#contentByHash.get(hash) ?? JSON.parse(json))
      }
      this.#apply(this.#reuseEndpoints(assembleConfiguration(root, contentByName)), nowMs)
    } catch {
      return { kind: 'rejected', reason: 'a part is malformed' }
    }
    this.#keepReplaced(newParts)
    this.#contentByHash = new Map([...nameByHash].map(([hash, name]) => [hash, contentByName.get(name)]))
    this.#root = texts.root
    this.#parts = newParts
    this.#nameByHash = nameByHash
    return { kind: 'accepted', version: root.version }
  }

  /** @returns hash prefixes that identify the stored parts in a pull */
  listShortHashes (): readonly string[] {
    return [...this.#parts.keys()].map(hash => hash.slice(0, SHORT_HASH_DIGITS))
  }

  /**
   * @param shortHashes - hash prefixes of the parts that the receiver has
   * @returns the texts that the receiver lacks; undefined when no texts are stored
   */
  findTexts (shortHashes: readonly string[]): ConfigurationTexts | undefined {
    if (this.#root === undefined) return undefined
    const receiverHashes = new Set(shortHashes.map(hash => hash.slice(0, SHORT_HASH_DIGITS)))
    const parts: (readonly [string, string])[] = []
    const deltas: TextDelta[] = []
    for (const [hash, json] of this.#parts) {
      if (receiverHashes.has(hash.slice(0, SHORT_HASH_DIGITS))) continue
      const older = this.#replaced.find(part => part.name === this.#nameByHash.get(hash) && receiverHashes.has(part.hash.slice(0, SHORT_HASH_DIGITS)))
      if (older === undefined) parts.push([hash, json])
      else deltas.push(computeDelta(older.hash, older.json, hash, json))
    }
    return { root: this.#root, parts, ...(deltas.length === 0 ? {} : { deltas }) }
  }

  /** Applies deltas; one whose older text is no longer stored is skipped, and its part then counts as missing. */
  #resolveDeltas (deltas: readonly TextDelta[]): readonly (readonly [hash: string, json: string])[] {
    return deltas.flatMap(delta => {
      const older = this.#parts.get(delta.from) ?? this.#replaced.find(({ hash }) => hash === delta.from)?.json
      return older === undefined ? [] : [[delta.hash, applyDelta(older, delta)] as const]
    })
  }

  /** Keeps the same list object while its items are unchanged, so that values derived from it are not recomputed. */
  #reuseEndpoints (configuration: Configuration): Configuration {
    const { endpoints } = this.#current
    const isSame = endpoints.length === configuration.endpoints.length && endpoints.every((endpoint, index) => endpoint === configuration.endpoints[index])
    return isSame ? { ...configuration, endpoints } : configuration
  }

  #keepReplaced (newParts: ReadonlyMap<string, string>): void {
    const replaced = [...this.#parts].flatMap(([hash, json]) => {
      const name = this.#nameByHash.get(hash)
      return newParts.has(hash) || name === undefined ? [] : [{ name, hash, json }]
    })
    this.#replaced = [...replaced, ...this.#replaced].slice(0, REPLACED_PARTS_MAX)
  }

  #apply (configuration: Configuration, nowMs: number): void {
    this.#tables = ConfigurationTables.create(configuration)
    this.#current = configuration
    this.#inForceSinceMs = nowMs
  }
}

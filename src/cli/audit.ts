/**
 * The audit trail: `audit/<page>` objects, each a JSON list of entries in the
 * order of versions, and `audit/head`, which holds the number of the last page
 * or of an earlier one.
 *
 * A change is written to the root first and to the trail second. No command
 * replaces a root whose change is missing from the trail, so no entry is lost
 * when a command crashes between the two writes.
 */

import type { ConfigurationDifference, ConfigurationRoot } from '../kernel/configuration.js'
import type { RetryingStore } from './store.js'

/** Largest size of a page in bytes. The platform accepts 1 MB, but each append rewrites the whole page. */
const PAGE_MAX_BYTES = 250_000

/** Number of pages kept. */
const PAGES_KEPT = 64

/** Number of versions for which a part is kept after it went out of use. */
const PART_VERSIONS_KEPT = 100

const HEAD_KEY = 'audit/head'

/** Largest number of tries to append an entry while other commands append too. */
const APPEND_TRIES_MAX = 20

/** One accepted change. */
export interface AuditEntry {
  readonly version: number
  readonly previousVersion: number
  /** Wall-clock time of the change, ISO 8601. */
  readonly when: string
  readonly who: string
  readonly command: string
  readonly reason: string
  readonly differences: readonly ConfigurationDifference[]
  /** Number of differences left out. */
  readonly omitted: number
  /** Identifies the change; see `ConfigurationChange`. */
  readonly changeId: string
  /** Platform keys of the parts that the change replaced or removed. */
  readonly replacedParts: readonly string[]
}

/** Limits on what is kept; tests use smaller ones. */
export interface AuditLimits {
  readonly pageMaxBytes: number
  readonly pagesKept: number
  readonly partVersionsKept: number
}

/** Limits in production. */
export const AUDIT_LIMITS: AuditLimits = { pageMaxBytes: PAGE_MAX_BYTES, pagesKept: PAGES_KEPT, partVersionsKept: PART_VERSIONS_KEPT }

interface Page {
  readonly number: number
  readonly entries: readonly AuditEntry[]
  readonly revision: number
}

/** Reads and extends the audit trail. */
export class AuditTrail {
  readonly #store: RetryingStore
  readonly limits: AuditLimits

  private constructor (store: RetryingStore, limits: AuditLimits) {
    this.#store = store
    this.limits = limits
  }

  /**
   * @param store - the platform
   * @param limits - limits on what is kept
   * @returns the trail
   */
  static create (store: RetryingStore, limits: AuditLimits = AUDIT_LIMITS): AuditTrail {
    return new AuditTrail(store, limits)
  }

  /**
   * Adds an entry unless the trail already has that version.
   *
   * @param entry - the entry; each version is added before the next one is accepted
   * @returns whether this call added it
   * @throws PlatformUnavailableError when the platform does not answer
   */
  async add (entry: AuditEntry): Promise<boolean> {
    for (let attempt = 0; attempt < APPEND_TRIES_MAX; attempt++) {
      const page = await this.#readLastPage()
      if ((page.entries.at(-1)?.version ?? 0) >= entry.version) return false
      const text = JSON.stringify([...page.entries, entry])
      const fits = page.entries.length === 0 || Buffer.byteLength(text) <= this.limits.pageMaxBytes
      const written = fits
        ? await this.#store.write(formatPageKey(page.number), text, page.revision)
        : await this.#store.write(formatPageKey(page.number + 1), JSON.stringify([entry]), 0)
      if (written.kind === 'conflict') continue
      if (!fits) await this.#startPage(page.number + 1)
      return true
    }
    throw new Error('could not append to the audit trail: other commands kept appending at the same time')
  }

  /**
   * @param root - root in force
   * @returns whether the entry of the root's change was missing and this call added it
   * @throws PlatformUnavailableError when the platform does not answer
   */
  async addMissing (root: ConfigurationRoot | undefined): Promise<boolean> {
    const entry = root === undefined ? undefined : buildRootEntry(root)
    return entry !== undefined && await this.add(entry)
  }

  /**
   * @param count - largest number of entries
   * @param afterVersion - only entries of versions after this one
   * @returns the last entries, oldest first
   * @throws PlatformUnavailableError when the platform does not answer
   */
  async list (count: number, afterVersion = 0): Promise<readonly AuditEntry[]> {
    const last = await this.#readLastPage()
    let entries = last.entries
    for (let number = last.number - 1; number >= 1 && entries.length < count && (entries[0]?.version ?? 0) > afterVersion + 1; number--) {
      const page = await this.#readPage(number)
      if (page.revision === 0) break
      entries = [...page.entries, ...entries]
    }
    return entries.filter(entry => entry.version > afterVersion).slice(-count)
  }

  /* The head may name the page before the last: a command may crash after it wrote
     a new page and before it updated the head. */
  async #readLastPage (): Promise<Page> {
    const head = await this.#store.read(HEAD_KEY)
    let page = await this.#readPage(head.value === undefined ? 1 : parseHead(head.value))
    for (;;) {
      const next = await this.#readPage(page.number + 1)
      if (next.revision === 0) return page
      page = next
    }
  }

  async #readPage (number: number): Promise<Page> {
    const { value, revision } = await this.#store.read(formatPageKey(number))
    return { number, revision, entries: value === undefined ? [] : JSON.parse(value) as readonly AuditEntry[] }
  }

  async #startPage (number: number): Promise<void> {
    const head = await this.#store.read(HEAD_KEY)
    if (head.value === undefined || parseHead(head.value) < number) {
      await this.#store.write(HEAD_KEY, JSON.stringify({ page: number }), head.revision)
    }
    for (let old = number - this.limits.pagesKept; old >= 1; old--) {
      const { revision } = await this.#store.read(formatPageKey(old))
      if (revision === 0) break
      await this.#store.remove(formatPageKey(old), revision)
    }
  }
}

/**
 * @param root - a root
 * @returns the entry of the change that led to it; undefined when the root holds no change
 */
export function buildRootEntry (root: ConfigurationRoot): AuditEntry | undefined {
  if (root.change === undefined) return undefined
  return {
    version: root.version,
    previousVersion: root.version - 1,
    when: root.changedAt,
    who: root.changedBy,
    command: root.change.command,
    reason: root.reason,
    differences: root.change.differences,
    omitted: root.change.omitted,
    changeId: root.change.id,
    replacedParts: root.change.replacedParts
  }
}

/**
 * @param entry - the entry
 * @returns text of several lines, ending with a line end
 */
export function formatEntry (entry: AuditEntry): string {
  const head = `${entry.when}  version ${entry.previousVersion} -> ${entry.version}  ${entry.who}: ${entry.command} (${entry.reason})\n`
  const lines = entry.differences.map(({ name, was, is }) => `    ${name}: ${was} -> ${is}\n`)
  const omitted = entry.omitted === 0 ? '' : `    and ${entry.omitted} more differences\n`
  return head + lines.join('') + omitted
}

function formatPageKey (number: number): string {
  return `audit/${String(number).padStart(8, '0')}`
}

function parseHead (text: string): number {
  return (JSON.parse(text) as { readonly page: number }).page
}

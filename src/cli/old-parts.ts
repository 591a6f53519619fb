/**
 * Removal of parts that are no longer in use. Each audit entry lists the parts
 * that its change replaced. They are kept for some versions, so that a process
 * that still reads an older root finds them.
 */

import { ROOT_KEY, formatPartKey } from '../kernel/configuration.js'
import type { ConfigurationRoot } from '../kernel/configuration.js'
import type { AuditTrail } from './audit.js'
import { runInBatches } from './parts.js'
import type { Part } from './parts.js'
import type { RetryingStore } from './store.js'

/** Number of versions whose parts one command removes; more than 1, to catch up after commands that crashed. */
const VERSIONS_PER_COMMAND = 10

/** Largest number of tries to rewrite one part. */
const REWRITE_TRIES_MAX = 5

/**
 * @param before - hashes by part name
 * @param after - hashes that replace them
 * @returns platform keys of the parts that are no longer in use
 */
export function listReplacedParts (before: Readonly<Record<string, string>>, after: Readonly<Record<string, string>>): readonly string[] {
  return Object.entries(before).filter(([name, hash]) => after[name] !== hash).map(([name, hash]) => formatPartKey(name, hash))
}

/**
 * Rewrites parts that existed before the change, which gives them a new revision.
 * A command that removes old parts at the same time may have read their
 * revisions before they came into use again; its removal then fails, because it
 * expects the old revision.
 *
 * @param store - the platform
 * @param parts - parts of the root in force
 */
export async function rewriteParts (store: RetryingStore, parts: readonly Part[]): Promise<void> {
  await runInBatches(parts, async part => {
    const key = formatPartKey(part.name, part.hash)
    for (let attempt = 0; attempt < REWRITE_TRIES_MAX; attempt++) {
      const { revision } = await store.read(key)
      const { kind } = await store.write(key, part.json, revision)
      if (kind === 'written') return
    }
  })
}

/**
 * Removes parts that went out of use `partVersionsKept` or more versions ago.
 *
 * @param store - the platform
 * @param trail - the audit trail
 * @param version - version in force
 */
export async function removeOldParts (store: RetryingStore, trail: AuditTrail, version: number): Promise<void> {
  const kept = trail.limits.partVersionsKept
  const entries = await trail.list(kept + VERSIONS_PER_COMMAND, version - kept - VERSIONS_PER_COMMAND)
  const recent = new Set(entries.filter(entry => entry.version > version - kept).flatMap(entry => entry.replacedParts))
  const old = entries.filter(entry => entry.version <= version - kept).flatMap(entry => entry.replacedParts).filter(key => !recent.has(key))
  if (old.length === 0) return
  const found = await runInBatches([...new Set(old)], async key => ({ key, revision: (await store.read(key)).revision }))
  /* The root must be read after the revisions: a part that comes into use after that has a new revision and is not removed. */
  const { value } = await store.read(ROOT_KEY)
  const root = JSON.parse(value ?? '{}') as Partial<ConfigurationRoot>
  const used = new Set(Object.entries(root.parts ?? {}).map(([name, hash]) => formatPartKey(name, hash)))
  await runInBatches(found.filter(({ key, revision }) => revision !== 0 && !used.has(key)), async ({ key, revision }) => {
    await store.remove(key, revision)
  })
}

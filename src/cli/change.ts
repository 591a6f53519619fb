/**
 * Applies a change: adds the audit entry of the version in force if it is missing,
 * writes the new parts, replaces the root by a conditional write and adds the
 * audit entry of the change.
 */

import { ROOT_KEY, assembleConfiguration } from '../kernel/configuration.js'
import type { Configuration, ConfigurationChange, ConfigurationDifference, ConfigurationRoot } from '../kernel/configuration.js'
import { AuditTrail, buildRootEntry, formatEntry } from './audit.js'
import type { AuditEntry } from './audit.js'
import type { CommandContext } from './context.js'
import { computeDifferences, formatDifference } from './diff.js'
import { readSnapshot, writeParts } from './parts.js'
import type { Part, Snapshot } from './parts.js'
import { EXIT, buildDone, buildFailure } from './result.js'
import type { CommandResult } from './result.js'
import { listReplacedParts, rewriteParts, removeOldParts } from './old-parts.js'
import { PlatformUnavailableError } from './store.js'

/** Number of conflicts with other operators after which a command without an expected version gives up. */
const CONFLICTS_MAX = 8

/** Wait after a conflict in ms, multiplied by the number of conflicts; a read just after a change may be stale. */
const CONFLICT_BACKOFF_MS = 100

/** Largest number of differences in the root; it is limited because each process holds the root in memory. */
const ROOT_DIFFERENCES_MAX = 16

/** Largest number of replaced parts that the root lists. */
const ROOT_REPLACED_PARTS_MAX = 16

/** Largest number of differences in an audit entry. */
const ENTRY_DIFFERENCES_MAX = 500

/** Largest size of a part that the platform accepts, in bytes. */
const PART_MAX_BYTES = 1_000_000

/** The state that a command puts in force. */
export interface TargetState extends Pick<ConfigurationRoot, 'domainStates' | 'drainingHosts'> {
  /** Parts of the new configuration; when absent, the parts in force stay. */
  readonly parts?: readonly Part[]
}

/** The state that a command chooses from the configuration in force, or its refusal. */
export type TargetChoice =
  | { readonly kind: 'target', readonly target: TargetState }
  | { readonly kind: 'refused', readonly result: CommandResult }

/** A change that an operator requests. */
export interface ChangeRequest {
  readonly command: string
  readonly by: string
  readonly reason: string
  /** Version that the operator saw; the change is refused when another one is in force. */
  readonly expect?: number
  /** Chooses the state to put in force; called again after a conflict with another operator. */
  readonly chooseTarget: (snapshot: Snapshot) => TargetChoice
}

interface Draft {
  readonly root: ConfigurationRoot
  readonly entry: AuditEntry
}

/**
 * Applies a change. Idempotent: applying a change that is already in force changes nothing.
 *
 * @param context - platform and clock
 * @param request - the change
 * @returns the result for the operator
 */
export async function applyChange (context: CommandContext, request: ChangeRequest): Promise<CommandResult> {
  const trail = AuditTrail.create(context.store, context.environment.auditLimits)
  let isRootWriteSent = false
  try {
    for (let conflicts = 0; conflicts < CONFLICTS_MAX; conflicts++) {
      if (conflicts > 0) await context.environment.wait(CONFLICT_BACKOFF_MS * conflicts)
      const snapshot = await readSnapshot(context.store, text => { context.environment.reportProgress(text) })
      const choice = request.chooseTarget(snapshot)
      if (choice.kind === 'refused') return choice.result
      await trail.addMissing(snapshot.root)
      const { version } = snapshot.configuration
      const after = assembleTarget(snapshot, choice.target)
      const differences = computeDifferences(snapshot.configuration, after)
      if (differences.length === 0 && hasSameParts(snapshot, choice.target)) {
        return buildDone(`Nothing to change; version ${version} is in force.\n`, { changed: false, version })
      }
      if (request.expect !== undefined && request.expect !== version) return await describeVersionConflict(trail, request.expect, version)
      const oversized = choice.target.parts?.find(part => Buffer.byteLength(part.json) > PART_MAX_BYTES)
      if (oversized !== undefined) return buildFailure(EXIT.badInput, `Part ${oversized.name} has ${Buffer.byteLength(oversized.json)} bytes; the platform takes ${PART_MAX_BYTES}.`)
      const draft = buildDraft(context, request, snapshot, choice.target, differences)
      const existingParts = await writeParts(context.store, choice.target.parts ?? [], snapshot.root, text => { context.environment.reportProgress(text) })
      context.environment.reportProgress('updating the root')
      isRootWriteSent = true
      const isAccepted = await writeRoot(context, trail, draft, snapshot.revision)
      if (isAccepted) return await finishChange(context, trail, { draft, differences, existingParts })
      isRootWriteSent = false
    }
    return buildFailure(EXIT.versionConflict, `The configuration in force was not the one just read, ${CONFLICTS_MAX} times in a row: other operators make changes, or the platform's reads lag behind. Nothing was changed; run the command again.`)
  } catch (error) {
    if (error instanceof PlatformUnavailableError) return describeUnavailable(error, isRootWriteSent)
    throw error
  }
}

/**
 * @param error - the call that the platform did not answer
 * @param isRootSent - whether the root update was sent
 * @returns the result for the operator
 */
export function describeUnavailable (error: PlatformUnavailableError, isRootSent = false): CommandResult {
  const isUnknown = isRootSent && error.mayHaveTakenEffect
  const effect = isUnknown
    ? 'It is not known whether the change is in force. Run the same command again when the platform answers: it changes nothing if it is.'
    : 'Nothing was changed.'
  return buildFailure(EXIT.platformUnavailable, `The platform does not answer (${error.message}). ${effect}`, { changed: isUnknown ? 'unknown' : false })
}

/**
 * @param trail - the audit trail
 * @param expected - version that the operator saw
 * @param version - version in force
 * @returns a version conflict, with the changes since the expected version
 */
async function describeVersionConflict (trail: AuditTrail, expected: number, version: number): Promise<CommandResult> {
  const laterEntries = await trail.list(100, expected)
  const changes = expected > version ? '' : `Changed since:\n${laterEntries.map(formatEntry).join('')}`
  return buildFailure(
    EXIT.versionConflict,
    `Version ${version} is in force, not ${expected}; nothing was changed.\n${changes}`,
    { changed: false, version, expected, changes: laterEntries }
  )
}

/* Writes the root and returns whether it is in force or was, before another change. */
async function writeRoot (context: CommandContext, trail: AuditTrail, draft: Draft, revision: number): Promise<boolean> {
  const written = await context.store.write(ROOT_KEY, JSON.stringify(draft.root), revision)
  if (written.kind === 'written') return true
  /* When the response to the write was lost, another operator may have replaced
     the root since. The trail then holds this change, because each change is
     added to it before the next one is accepted. */
  try {
    const [entry] = await trail.list(Number.MAX_SAFE_INTEGER, draft.root.version - 1)
    return entry?.changeId === draft.entry.changeId
  } catch (error) {
    if (error instanceof PlatformUnavailableError) throw new PlatformUnavailableError(error.message, true)
    throw error
  }
}

/** A change that the platform accepted. */
interface AcceptedChange {
  readonly draft: Draft
  readonly differences: readonly ConfigurationDifference[]
  /** Parts of the change that the platform had already. */
  readonly existingParts: readonly Part[]
}

async function finishChange (context: CommandContext, trail: AuditTrail, { draft, differences, existingParts }: AcceptedChange): Promise<CommandResult> {
  const { version } = draft.root
  let auditWarning = ''
  try {
    await rewriteParts(context.store, existingParts)
    await trail.add(draft.entry)
    await removeOldParts(context.store, trail, draft.root.version)
  } catch (error) {
    if (!(error instanceof PlatformUnavailableError)) throw error
    auditWarning = 'The platform stopped answering after that. The root holds the audit entry; the next command adds it to the trail.\n'
  }
  const lines = differences.map(difference => `  ${formatDifference(difference)}\n`).join('')
  return buildDone(`Version ${version} is accepted; it is in force everywhere within seconds.\n${lines}${auditWarning}`, { changed: true, version, differences })
}

function buildDraft (context: CommandContext, request: ChangeRequest, snapshot: Snapshot, target: TargetState, differences: readonly ConfigurationDifference[]): Draft {
  const hashes = computeHashes(snapshot, target)
  const replacedParts = listReplacedParts(snapshot.root?.parts ?? {}, hashes)
  const change: ConfigurationChange = {
    id: context.environment.createRandomHex(16),
    command: request.command,
    differences: differences.slice(0, ROOT_DIFFERENCES_MAX),
    omitted: Math.max(0, differences.length - ROOT_DIFFERENCES_MAX),
    replacedParts: replacedParts.slice(0, ROOT_REPLACED_PARTS_MAX)
  }
  const root: ConfigurationRoot = {
    version: snapshot.configuration.version + 1,
    parts: hashes,
    domainStates: target.domainStates,
    drainingHosts: target.drainingHosts,
    changedBy: request.by,
    changedAt: context.environment.getTime(),
    reason: request.reason,
    change
  }
  const entry = buildRootEntry(root)
  if (entry === undefined) throw new Error('the new root holds no change')
  return {
    root,
    entry: {
      ...entry,
      differences: differences.slice(0, ENTRY_DIFFERENCES_MAX),
      omitted: Math.max(0, differences.length - ENTRY_DIFFERENCES_MAX),
      replacedParts
    }
  }
}

function computeHashes (snapshot: Snapshot, target: TargetState): Readonly<Record<string, string>> {
  if (target.parts === undefined) return snapshot.root?.parts ?? {}
  return Object.fromEntries(target.parts.map(part => [part.name, part.hash]))
}

/* Compares part hashes, which also cover what the differences do not show, such as the order of a list. */
function hasSameParts (snapshot: Snapshot, target: TargetState): boolean {
  if (snapshot.root === undefined) return false
  const hashes = computeHashes(snapshot, target)
  const names = new Set([...Object.keys(hashes), ...Object.keys(snapshot.root.parts)])
  return [...names].every(name => hashes[name] === snapshot.root?.parts[name])
}

function assembleTarget (snapshot: Snapshot, target: TargetState): Configuration {
  const { configuration } = snapshot
  if (target.parts === undefined) {
    return {
      ...configuration,
      domains: configuration.domains.map(domain => ({ ...domain, state: target.domainStates[domain.name] ?? 'in' })),
      drainingHosts: target.drainingHosts
    }
  }
  const root: ConfigurationRoot = {
    version: configuration.version + 1,
    parts: computeHashes(snapshot, target),
    domainStates: target.domainStates,
    drainingHosts: target.drainingHosts,
    changedBy: '',
    changedAt: '',
    reason: ''
  }
  return assembleConfiguration(root, new Map(target.parts.map(part => [part.name, JSON.parse(part.json) as unknown])))
}

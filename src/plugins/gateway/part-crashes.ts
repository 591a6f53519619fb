/**
 * Blocks parts of prompts that crash endpoints. Gateways merge what each of them saw of
 * a crash, so that every crash counts once, and derive the blocked parts from it.
 */

import { HEADER_BYTES_MAX } from '../../gateway/model.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'
import { explainCrashes } from './explanation.js'
import type { Explanation } from './explanation.js'

/** Time in ms for which a crash, and the knowledge that a part is harmless, is kept. */
const EVIDENCE_TTL_MS = 600_000

/** Largest number of crashes that are kept. */
export const CRASHES_MAX = 64

/** Least number of bytes that a part takes in the head of a request, when thousands of different ones do. */
const PART_BYTES_MIN = 4

/**
 * Largest number of accusations that are kept, of all crashes together: what the largest head can list.
 * Beyond it the oldest crashes are forgotten; of the latest one, parts that are known to be sound, then those in flight the shortest.
 */
export const ACCUSATIONS_MAX = HEADER_BYTES_MAX / PART_BYTES_MIN

/** Largest number of teams that are remembered for a part; two show that it is not one team's own. */
const TEAMS_MAX = 2

/** Largest number of parts that are remembered as harmless; about 200 bytes each. */
const HARMLESS_MAX = 20_000

/** Time in ms for which a part is blocked after a crash; doubles with each further one. */
const BLOCK_FIRST_MS = 30_000
const BLOCK_MAX_MS = 300_000

/** Time in ms between trials of a part whose block is over, at one gateway and from one gateway to the next. */
export const TRIAL_INTERVAL_MS = 2_000

/** Time in ms after a crash from which a blocked part is tried while other parts explain the crash as well. */
const DOUBT_MS = 3 * TRIAL_INTERVAL_MS

/** The same once a refused request had such another part, too: the block may hide the part that crashes endpoints. */
const HIDING_DOUBT_MS = TRIAL_INTERVAL_MS

/**
 * Largest number of incidents after which a block in doubt is tried early, as each trial may be one more. The platform allows
 * five crashes and three requests with the part afterwards; the last of these is left for the trial when the block ends.
 */
const TRIAL_INCIDENTS_MAX = 6

/** A request that was in flight at a crash and whose answer had not gone past its beginning. */
export interface Suspect {
  readonly fingerprint: string
  readonly team: string
  readonly parts: readonly string[]
  /** Time in ms from the start of the attempt to its end. */
  readonly ageMs: number
}

/** A part that a crash accuses, as sent between gateways. */
export interface Accusation {
  readonly part: string
  readonly teams: readonly string[]
  readonly depth: number
  readonly ageMs: number
}

/** What a gateway knows of one crash; merging is idempotent, and the order does not matter. */
export interface CrashEvidence {
  /** Endpoint and start of the incarnation that crashed. */
  readonly crash: string
  readonly service: string
  /** Time in ms since the crash. */
  readonly ageMs: number
  readonly accused: readonly Accusation[]
  /** Accused parts with which answers had begun before the crash, and teams whose requests these were. */
  readonly harmless: readonly { readonly part: string, readonly teams: readonly string[] }[]
  /** Accused parts with which answers have begun since the crash. */
  readonly cleared: readonly string[]
}

/** Whether a request may be sent to an endpoint. */
export type PartDecision =
  | { readonly kind: 'allowed' }
  /** The block of a part is over, or in doubt, and this request shows whether it crashes endpoints. */
  | { readonly kind: 'trial', readonly part: string, readonly crashes: readonly string[] }
  | { readonly kind: 'blocked', readonly part: string, readonly crashes: readonly string[], readonly untilMs: number }

/** Request that is about to be sent. */
export interface PartRequest {
  readonly parts: readonly string[]
  readonly team: string
  /** Position of this gateway among those that may try a part whose block is over. */
  rankForTrial (part: string): number
}

/** Result of merging evidence. */
export interface EvidenceMerge {
  /** Whether anything was new. */
  readonly isChanged: boolean
  /** What this gateway can add about parts that it had not known to be accused. */
  readonly reply: CrashEvidence | undefined
}

/** What was forgotten for lack of room. */
export interface DroppedEvidence {
  readonly accusations: number
  readonly crashes: number
  /** Parts that were known to be harmless. */
  readonly harmless: number
}

const NOTHING_DROPPED: DroppedEvidence = { accusations: 0, crashes: 0, harmless: 0 }

/** Parts of prompts that crash endpoints. */
export interface PartCrashesPort {
  decide (request: PartRequest, nowMs: number): PartDecision
  /** Records a crash. @returns what to send to the other gateways, also when no part is accused */
  noteCrash (crash: string, service: string, suspects: readonly Suspect[], nowMs: number): CrashEvidence
  /** Records that an answer has gone past its beginning, which shows that its parts are harmless. @returns what to send to the other gateways */
  noteBegun (parts: readonly string[], team: string, startedAtMs: number, nowMs: number): readonly CrashEvidence[]
  merge (evidence: CrashEvidence, nowMs: number): EvidenceMerge
  /** Lists the evidence that has changed since a time, latest crash first. */
  list (changedSinceMs: number, nowMs: number): readonly CrashEvidence[]
  listBlocked (nowMs: number): readonly string[]
  /** Takes the numbers of what was dropped since the last call. */
  takeDropped (): DroppedEvidence
}

interface AccusedEntry {
  readonly teams: Set<string>
  depth: number
  ageMs: number
}

interface CrashEntry {
  readonly id: string
  readonly service: string
  atMs: number
  changedAtMs: number
  /** Whether accusations were dropped for lack of room. */
  isFull: boolean
  readonly accused: Map<string, AccusedEntry>
  readonly harmless: Map<string, Set<string>>
  readonly cleared: Set<string>
}

/** Crashes, and the parts that are known to be harmless. */
export class PartCrashesPlugin implements Plugin, PartCrashesPort {
  readonly name = 'part-crashes'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'partCrashes'> = { partCrashes: this }
  readonly #crashes = new Map<string, CrashEntry>()
  readonly #harmless = new Map<string, { readonly teams: Set<string>, atMs: number }>()
  readonly #trialsAtMs = new Map<string, number>()
  /** Blocked parts for which a request was refused that had one of their rivals, too. */
  readonly #hiding = new Set<string>()
  #explanations: ReadonlyMap<string, Explanation> = new Map()
  #isStale = false
  #dropped = NOTHING_DROPPED

  private constructor () {}

  /** @returns a table without crashes */
  static create (): PartCrashesPlugin {
    return new PartCrashesPlugin()
  }

  handle (): void {}

  decide ({ parts, team, rankForTrial }: PartRequest, nowMs: number): PartDecision {
    if (this.#crashes.size === 0 || parts.length === 0) return { kind: 'allowed' }
    const explanations = this.#explain(nowMs)
    const found = parts.flatMap(part => explanations.get(part) ?? []).filter(explanation => this.#appliesTo(explanation, team))
    if (found.length === 0) return { kind: 'allowed' }
    const asked = new Set(parts)
    let trial: Explanation | undefined
    for (const explanation of found) {
      const { part, crashes } = explanation
      const untilMs = computeBlockEndMs(explanation)
      const isDue = nowMs >= this.#computeTrialStartMs(explanation, asked) + rankForTrial(part) * TRIAL_INTERVAL_MS && nowMs - (this.#trialsAtMs.get(part) ?? -Infinity) >= TRIAL_INTERVAL_MS
      if (!isDue) return { kind: 'blocked', part, crashes, untilMs }
      trial ??= explanation
    }
    if (trial === undefined) return { kind: 'allowed' }
    for (const { part } of found) this.#trialsAtMs.set(part, nowMs)
    return { kind: 'trial', part: trial.part, crashes: trial.crashes }
  }

  noteCrash (crash: string, service: string, suspects: readonly Suspect[], nowMs: number): CrashEvidence {
    const accused = suspects.flatMap(({ parts, team, ageMs }) => parts.map((part, depth): Accusation => ({ part, teams: [team], depth, ageMs })))
    // The suspects that matter most come first, for the table and for the datagrams.
    const known = new Set(accused.flatMap(({ part }) => this.#findHarmless(part, nowMs) === undefined ? [] : [part]))
    accused.sort((a, b) => Number(known.has(a.part)) - Number(known.has(b.part)) || b.ageMs - a.ageMs)
    const evidence: CrashEvidence = { crash, service, ageMs: 0, accused, harmless: [], cleared: [] }
    this.merge(evidence, nowMs)
    return describeEntry(this.#getEntry(evidence, nowMs, nowMs), nowMs)
  }

  noteBegun (parts: readonly string[], team: string, startedAtMs: number, nowMs: number): readonly CrashEvidence[] {
    for (const part of parts) this.#noteHarmless(part, team, nowMs)
    const changed: CrashEvidence[] = []
    for (const entry of this.#crashes.values()) {
      const cleared = entry.atMs >= startedAtMs ? [] : parts.filter(part => entry.accused.has(part) && !entry.cleared.has(part))
      if (cleared.length === 0) continue
      for (const part of cleared) entry.cleared.add(part)
      this.#noteChanged(entry, nowMs)
      changed.push({ crash: entry.id, service: entry.service, ageMs: nowMs - entry.atMs, accused: [], harmless: [], cleared })
    }
    return changed
  }

  merge (evidence: CrashEvidence, nowMs: number): EvidenceMerge {
    const atMs = nowMs - Math.max(0, evidence.ageMs)
    if (nowMs - atMs > EVIDENCE_TTL_MS) return { isChanged: false, reply: undefined }
    const isNew = !this.#crashes.has(evidence.crash)
    let isChanged = isNew
    const entry = this.#getEntry(evidence, atMs, nowMs)
    entry.atMs = Math.min(entry.atMs, atMs)
    const own: { part: string, teams: readonly string[] }[] = []
    // What the sender knows need not be told it again.
    for (const { part, teams } of evidence.harmless) if (addHarmless(entry, part, teams)) isChanged = true
    for (const accusation of this.#fit(entry, evidence.accused)) {
      const isNewPart = !entry.accused.has(accusation.part)
      if (!addAccusation(entry, accusation)) continue
      isChanged = true
      const known = isNewPart ? this.#findHarmless(accusation.part, nowMs) : undefined
      if (known !== undefined && addHarmless(entry, accusation.part, [...known])) own.push({ part: accusation.part, teams: [...known] })
    }
    for (const part of evidence.cleared) {
      if (entry.cleared.has(part) || entry.cleared.size >= ACCUSATIONS_MAX) continue
      entry.cleared.add(part)
      isChanged = true
    }
    if (isChanged) this.#noteChanged(entry, nowMs)
    const dropped = this.#dropOldest()
    const isForgotten = dropped.has(entry.id)
    // A crash that was forgotten before may be heard of again, and counts once.
    this.#noteDropped({ crashes: dropped.size - (isForgotten && isNew ? 1 : 0) })
    if (isForgotten) return { isChanged: false, reply: undefined }
    return { isChanged, reply: own.length === 0 ? undefined : { crash: entry.id, service: entry.service, ageMs: nowMs - entry.atMs, accused: [], harmless: own, cleared: [] } }
  }

  list (changedSinceMs: number, nowMs: number): readonly CrashEvidence[] {
    this.#removeExpired(nowMs)
    return [...this.#crashes.values()].filter(({ changedAtMs }) => changedAtMs >= changedSinceMs)
      .sort((a, b) => b.atMs - a.atMs).map(entry => describeEntry(entry, nowMs))
  }

  listBlocked (nowMs: number): readonly string[] {
    return [...this.#explain(nowMs).keys()]
  }

  takeDropped (): DroppedEvidence {
    const dropped = this.#dropped
    this.#dropped = NOTHING_DROPPED
    return dropped
  }

  /** Lists the accusations that a crash has room for; parts that are known to be sound make room for others. */
  #fit (entry: CrashEntry, accused: readonly Accusation[]): readonly Accusation[] {
    const added = [...new Set(accused.flatMap(({ part }) => entry.accused.has(part) ? [] : [part]))]
    const excess = entry.accused.size + added.length - ACCUSATIONS_MAX
    if (excess <= 0) return accused
    const isSound = (part: string): boolean => entry.cleared.has(part) || entry.harmless.has(part)
    const suspects = added.filter(part => !isSound(part))
    const missing = Math.max(0, entry.accused.size + suspects.length - ACCUSATIONS_MAX)
    for (const part of [...entry.accused.keys()].filter(isSound).slice(0, missing)) entry.accused.delete(part)
    const kept = new Set([...suspects, ...added.filter(isSound)].slice(0, ACCUSATIONS_MAX - entry.accused.size))
    // Evidence is repeated, and counts once.
    if (!entry.isFull) this.#noteDropped({ accusations: excess })
    entry.isFull = true
    return accused.filter(({ part }) => entry.accused.has(part) || kept.has(part))
  }

  /** Forgets the oldest crashes until the others fit. @returns the ids of those */
  #dropOldest (): ReadonlySet<string> {
    const dropped = new Set<string>()
    let accusations = [...this.#crashes.values()].reduce((sum, { accused }) => sum + accused.size, 0)
    while (this.#crashes.size > 1 && (accusations > ACCUSATIONS_MAX || this.#crashes.size > CRASHES_MAX)) {
      const { id, accused } = [...this.#crashes.values()].reduce((oldest, entry) => entry.atMs < oldest.atMs ? entry : oldest)
      this.#crashes.delete(id)
      accusations -= accused.size
      dropped.add(id)
      this.#isStale = true
    }
    return dropped
  }

  #noteDropped (dropped: Partial<DroppedEvidence>): void {
    const { accusations, crashes, harmless } = this.#dropped
    this.#dropped = { accusations: accusations + (dropped.accusations ?? 0), crashes: crashes + (dropped.crashes ?? 0), harmless: harmless + (dropped.harmless ?? 0) }
  }

  /**
   * Computes the monotonic time in ms from which a request with a blocked part may be tried. While other parts explain the
   * crashes as well, a request that lacks one of them shows which it is, best one that lacks them all.
   */
  #computeTrialStartMs (explanation: Explanation, asked: ReadonlySet<string>): number {
    const { part, rivals, lastCrashAtMs, incidents } = explanation
    const untilMs = computeBlockEndMs(explanation)
    const present = rivals.filter(rival => asked.has(rival)).length
    if (present > 0) this.#hiding.add(part)
    if (present === rivals.length || incidents > TRIAL_INCIDENTS_MAX) return untilMs
    const doubtMs = this.#hiding.has(part) ? HIDING_DOUBT_MS : DOUBT_MS
    return Math.min(untilMs, lastCrashAtMs + doubtMs + (present > 0 ? TRIAL_INTERVAL_MS : 0))
  }

  /** Whether a block applies to a team. A part that only one team's requests accuse stays served to the others when it is harmless in theirs. */
  #appliesTo ({ part, teams, crashes }: Explanation, team: string): boolean {
    if (teams.length !== 1 || teams.includes(team)) return true
    const harmless = crashes.flatMap(crash => [...this.#crashes.get(crash)?.harmless.get(part) ?? []])
    return !harmless.some(other => !teams.includes(other))
  }

  #explain (nowMs: number): ReadonlyMap<string, Explanation> {
    this.#removeExpired(nowMs)
    if (!this.#isStale) return this.#explanations
    this.#isStale = false
    this.#explanations = explainCrashes([...this.#crashes.values()].map(({ id, service, atMs, accused, harmless, cleared }) => ({
      id,
      service,
      atMs,
      accused: [...accused].filter(([part]) => !cleared.has(part)).map(([part, { teams, depth, ageMs }]) => ({ part, teams: [...teams], depth, ageMs, wasHarmless: harmless.has(part) }))
    })))
    for (const part of this.#trialsAtMs.keys()) if (!this.#explanations.has(part)) this.#trialsAtMs.delete(part)
    for (const part of this.#hiding) if (!this.#explanations.has(part)) this.#hiding.delete(part)
    return this.#explanations
  }

  #removeExpired (nowMs: number): void {
    for (const [id, { atMs }] of this.#crashes) {
      if (nowMs - atMs <= EVIDENCE_TTL_MS) continue
      this.#crashes.delete(id)
      this.#isStale = true
    }
  }

  #getEntry ({ crash, service }: CrashEvidence, atMs: number, nowMs: number): CrashEntry {
    let entry = this.#crashes.get(crash)
    if (entry === undefined) {
      entry = { id: crash, service, atMs, changedAtMs: nowMs, isFull: false, accused: new Map(), harmless: new Map(), cleared: new Set() }
      this.#crashes.set(crash, entry)
    }
    return entry
  }

  #noteChanged (entry: CrashEntry, nowMs: number): void {
    entry.changedAtMs = nowMs
    this.#isStale = true
  }

  #noteHarmless (part: string, team: string, nowMs: number): void {
    const known = this.#harmless.get(part) ?? { teams: new Set<string>(), atMs: nowMs }
    known.atMs = nowMs
    if (known.teams.size < TEAMS_MAX) known.teams.add(team)
    this.#harmless.delete(part)
    this.#harmless.set(part, known)
    const oldest = this.#harmless.keys().next().value
    if (this.#harmless.size <= HARMLESS_MAX || oldest === undefined) return
    this.#harmless.delete(oldest)
    this.#noteDropped({ harmless: 1 })
  }

  #findHarmless (part: string, nowMs: number): ReadonlySet<string> | undefined {
    const known = this.#harmless.get(part)
    return known === undefined || nowMs - known.atMs > EVIDENCE_TTL_MS ? undefined : known.teams
  }
}

/** Monotonic time in ms at which the block of a part ends; it is then tried again. */
function computeBlockEndMs ({ lastCrashAtMs, incidents }: Explanation): number {
  return lastCrashAtMs + Math.min(BLOCK_MAX_MS, BLOCK_FIRST_MS * 2 ** (incidents - 1))
}

function describeEntry ({ id, service, atMs, accused, harmless, cleared }: CrashEntry, nowMs: number): CrashEvidence {
  return {
    crash: id,
    service,
    ageMs: nowMs - atMs,
    accused: [...accused].map(([part, { teams, depth, ageMs }]) => ({ part, teams: [...teams], depth, ageMs })),
    harmless: [...harmless].map(([part, teams]) => ({ part, teams: [...teams] })),
    cleared: [...cleared]
  }
}

/** @returns whether the accusation, or one of its teams, was new */
function addAccusation ({ accused }: CrashEntry, { part, teams, depth, ageMs }: Accusation): boolean {
  const known = accused.get(part)
  if (known === undefined) {
    accused.set(part, { teams: new Set(teams.slice(0, TEAMS_MAX)), depth, ageMs })
    return true
  }
  known.depth = Math.max(known.depth, depth)
  known.ageMs = Math.max(known.ageMs, ageMs)
  return addTeams(known.teams, teams)
}

/** @returns whether the part, or one of its teams, was new */
function addHarmless ({ harmless }: CrashEntry, part: string, teams: readonly string[]): boolean {
  const known = harmless.get(part)
  if (known !== undefined) return addTeams(known, teams)
  if (harmless.size >= ACCUSATIONS_MAX) return false
  harmless.set(part, new Set(teams.slice(0, TEAMS_MAX)))
  return true
}

function addTeams (known: Set<string>, teams: readonly string[]): boolean {
  const sizeBefore = known.size
  for (const team of teams) if (known.size < TEAMS_MAX) known.add(team)
  return known.size > sizeBefore
}

registerPlugin({ name: 'part-crashes', roles: ['gateway'], create: () => PartCrashesPlugin.create() })

/**
 * Finds the prompt parts that explain crashes of endpoints. Many requests are in
 * flight when an endpoint crashes, so that a single crash accuses several parts.
 * The search picks the part with the most evidence, drops the crashes that it
 * explains, and repeats with the rest.
 */

/** Time in ms between crashes that count as one incident: a part is only guilty of those when it was in flight at each. */
const INCIDENT_MS = 250

/** Points of a part that was in flight at every crash of an incident and has never begun an answer. */
const POINTS_STRONG = 2

/** Points of a part that began answers before the crash, or was not in flight at every crash of the incident. */
const POINTS_WEAK = 1

/** Points from which a part is blocked. */
const POINTS_MIN = 2

/** A part of a prompt that was in flight at a crash, in an answer that had not gone past its beginning. */
export interface AccusedPart {
  readonly part: string
  /** Teams whose requests had it. */
  readonly teams: readonly string[]
  /** Position in the prompt, from 0; parts at the beginning are shared by more requests. */
  readonly depth: number
  /** Time in ms from the start of the attempt to the crash. */
  readonly ageMs: number
  /** Whether answers with the part had begun before the crash. */
  readonly wasHarmless: boolean
}

/** A crash and the parts that it accuses; parts that have been cleared since are left out. */
export interface AccusingCrash {
  readonly id: string
  readonly service: string
  readonly atMs: number
  readonly accused: readonly AccusedPart[]
}

/** A blocked part and the crashes that it explains. */
export interface Explanation {
  readonly part: string
  /** Ids of the crashes, earliest first. */
  readonly crashes: readonly string[]
  /** Time of the latest of these crashes, in the clock of their `atMs`. */
  readonly lastCrashAtMs: number
  /** Number of incidents, each of one or more crashes at the same time. */
  readonly incidents: number
  /** Teams whose requests had the part at these crashes. */
  readonly teams: readonly string[]
  /** Other parts that explain the same crashes with as many points. */
  readonly rivals: readonly string[]
}

interface Candidate {
  readonly points: number
  readonly depth: number
  readonly ageMs: number
}

interface Incident {
  readonly crashes: readonly AccusingCrash[]
  readonly candidates: ReadonlyMap<string, Candidate>
}

/**
 * @param crashes - crashes of all services
 * @returns explanations by part; crashes that no part explains are left out
 */
export function explainCrashes (crashes: readonly AccusingCrash[]): ReadonlyMap<string, Explanation> {
  const explanations = new Map<string, Explanation>()
  const open = indexIncidents(groupIncidents(crashes))
  const totals = new Map([...open].map(([part, incidents]) => [part, sumCandidates(part, incidents)]))
  for (;;) {
    const part = pickGuiltiest(totals)
    if (part === undefined) return explanations
    const explained = open.get(part)!
    const { points } = totals.get(part)!
    const rivals = [...explained[0]!.candidates.keys()].filter(other => other !== part && totals.get(other)?.points === points && explained.every(({ candidates }) => candidates.has(other)))
    explanations.set(part, describeExplanation(part, rivals, explained))
    for (const other of new Set(explained.flatMap(({ candidates }) => [...candidates.keys()]))) {
      const rest = open.get(other)!.filter(incident => !explained.includes(incident))
      open.set(other, rest)
      if (rest.length === 0) totals.delete(other)
      else totals.set(other, sumCandidates(other, rest))
    }
  }
}

/** Lists the incidents of each part. */
function indexIncidents (incidents: readonly Incident[]): Map<string, readonly Incident[]> {
  const byPart = new Map<string, Incident[]>()
  for (const incident of incidents) {
    for (const part of incident.candidates.keys()) {
      const known = byPart.get(part)
      if (known === undefined) byPart.set(part, [incident])
      else known.push(incident)
    }
  }
  return byPart
}

function groupIncidents (crashes: readonly AccusingCrash[]): readonly Incident[] {
  const groups: AccusingCrash[][] = []
  const latest = new Map<string, AccusingCrash[]>()
  for (const crash of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
    const group = latest.get(crash.service)
    if (group !== undefined && crash.atMs - group[0]!.atMs <= INCIDENT_MS) {
      group.push(crash)
      continue
    }
    const started = [crash]
    groups.push(started)
    latest.set(crash.service, started)
  }
  return groups.map(group => ({ crashes: group, candidates: rateCandidates(group) }))
}

function rateCandidates (crashes: readonly AccusingCrash[]): ReadonlyMap<string, Candidate> {
  const candidates = new Map<string, Candidate>()
  const accusedByCrash = crashes.map(({ accused }) => new Set(accused.map(({ part }) => part)))
  for (const { part, depth, ageMs, wasHarmless } of crashes.flatMap(({ accused }) => accused)) {
    const points = !wasHarmless && accusedByCrash.every(accused => accused.has(part)) ? POINTS_STRONG : POINTS_WEAK
    const known = candidates.get(part)
    candidates.set(part, { points: Math.min(points, known?.points ?? points), depth: Math.max(depth, known?.depth ?? 0), ageMs: Math.max(ageMs, known?.ageMs ?? 0) })
  }
  return candidates
}

function sumCandidates (part: string, incidents: readonly Incident[]): Candidate {
  return incidents.map(({ candidates }) => candidates.get(part)!)
    .reduce((total, { points, depth, ageMs }) => ({ points: total.points + points, depth: Math.max(total.depth, depth), ageMs: total.ageMs + ageMs }))
}

/** Picks the part with the most points; of equal ones the deepest, as it is shared by the fewest requests, then the one in flight the longest. */
function pickGuiltiest (totals: ReadonlyMap<string, Candidate>): string | undefined {
  let guiltiest: readonly [string, Candidate] | undefined
  for (const total of totals) {
    if (total[1].points >= POINTS_MIN && (guiltiest === undefined || compareGuilt(total, guiltiest) > 0)) guiltiest = total
  }
  return guiltiest?.[0]
}

function compareGuilt ([partA, a]: readonly [string, Candidate], [partB, b]: readonly [string, Candidate]): number {
  return a.points - b.points || a.depth - b.depth || a.ageMs - b.ageMs || (partA < partB ? 1 : -1)
}

function describeExplanation (part: string, rivals: readonly string[], incidents: readonly Incident[]): Explanation {
  const crashes = incidents.flatMap(incident => incident.crashes).filter(({ accused }) => accused.some(other => other.part === part))
  const teams = crashes.flatMap(({ accused }) => accused.filter(other => other.part === part).flatMap(other => other.teams))
  return { part, crashes: crashes.map(({ id }) => id), lastCrashAtMs: Math.max(...crashes.map(({ atMs }) => atMs)), incidents: incidents.length, teams: [...new Set(teams)], rivals }
}

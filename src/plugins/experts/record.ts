/** Objects that the expert map plug-ins store in the platform. */

/** A map of one group: experts by rank and layer. */
export interface MapContent {
  readonly version: number
  /** First step that uses the map. */
  readonly step: number
  /** Fencing number of the holder that proposed it. */
  readonly fence: number
  /** Experts by rank and layer. */
  readonly ranks: readonly (readonly (readonly number[])[])[]
}

/**
 * Value of `map/<group>`: the only place where a change is decided. The version
 * increases by 1 with each decision, so a proposal for version n can be decided only
 * while the record is at n - 1.
 */
export interface MapRecord {
  readonly version: number
  readonly decision: 'commit' | 'abort'
  /** Highest fencing number of a holder that wrote the record. */
  readonly fence: number
  /** Map in force after the decision. */
  readonly map: MapContent
  /** Map that ranks use until `map.step`; a rank replaced before that step needs it. */
  readonly previous?: MapContent
}

/** A record and the platform revision it was read or written at. */
export interface StoredRecord {
  readonly revision: number
  readonly record: MapRecord
}

/** Value of `lease/<group>`. */
export interface LeaseValue {
  readonly holder: string
  readonly incarnation: number
  readonly fence: number
  /** The holder has released the lease. */
  readonly released: boolean
}

/**
 * @param group - name of the group
 * @returns platform key of the group's map record
 */
export function formatMapKey (group: string): string {
  return `map/${group}`
}

/**
 * @param group - name of the group
 * @returns platform key of the group's lease
 */
export function formatLeaseKey (group: string): string {
  return `lease/${group}`
}

/**
 * @param value - text read from the platform
 * @returns the record; undefined when the text is not one
 */
export function parseRecord (value: string): MapRecord | undefined {
  const found = parseObject(value) as Partial<MapRecord> | undefined
  if (typeof found?.version !== 'number' || typeof found.fence !== 'number') return undefined
  return typeof found.map?.version === 'number' && Array.isArray(found.map.ranks) ? found as MapRecord : undefined
}

/**
 * @param value - text read from the platform
 * @returns the lease; undefined when the text is not one
 */
export function parseLease (value: string): LeaseValue | undefined {
  const found = parseObject(value) as Partial<LeaseValue> | undefined
  return typeof found?.fence === 'number' && typeof found.holder === 'string' ? found as LeaseValue : undefined
}

/**
 * Builds the record that aborts the next version and keeps the map. Proposals for
 * that version can no longer be committed once it is written.
 *
 * @param record - the current record
 * @param fence - fencing number of the writer; a rank passes that of the record
 * @returns the record to write
 */
export function buildAbort (record: MapRecord, fence: number): MapRecord {
  return { ...record, version: record.version + 1, decision: 'abort', fence }
}

/**
 * Builds the record that puts a map into force.
 *
 * @param record - the current record; undefined before the first
 * @param fence - fencing number of the holder
 * @param step - first step that uses the map
 * @param ranks - experts by rank and layer
 * @returns the record to write
 */
export function buildCommit (record: MapRecord | undefined, fence: number, step: number, ranks: MapContent['ranks']): MapRecord {
  const version = (record?.version ?? 0) + 1
  const previous = record === undefined ? {} : { previous: record.map }
  return { version, decision: 'commit', fence, map: { version, step, fence, ranks }, ...previous }
}

function parseObject (value: string): object | undefined {
  try {
    const found: unknown = JSON.parse(value)
    return typeof found === 'object' && found !== null ? found : undefined
  } catch {
    return undefined
  }
}

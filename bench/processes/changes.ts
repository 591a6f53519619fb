/** Makes configuration changes at a steady rate, written as the command line writes them but without its audit trail. */

import { request } from 'undici'
import { ROOT_KEY, formatPartKey } from '../../src/kernel/configuration.js'
import type { ConfigurationRoot, Team } from '../../src/kernel/configuration.js'
import { hashPart } from '../../src/kernel/hash.js'
import { wait } from './local-cluster.js'
import type { LocalCluster } from './local-cluster.js'

const SECOND_MS = 1_000

interface StoredObject {
  readonly value: string
  readonly revision: number
}

/** A change that the platform has accepted. */
export interface Change {
  readonly version: number
  /** Wall-clock time of the platform's response in ms. */
  readonly atMs: number
}

/**
 * @param cluster - running cluster with at least one team
 * @param perS - changes per second
 * @param durationMs - time for which changes are made, in ms
 * @returns the changes made
 */
export async function runChanges (cluster: LocalCluster, perS: number, durationMs: number): Promise<readonly Change[]> {
  const changes: Change[] = []
  const startMs = performance.now()
  const changeCount = Math.ceil(durationMs * perS / SECOND_MS)
  for (let count = 0; count < changeCount; count += 1) {
    await wait(Math.max(0, startMs + count * SECOND_MS / perS - performance.now()))
    changes.push(await writeChange(cluster.files.platformUrl))
  }
  await wait(Math.max(0, startMs + durationMs - performance.now()))
  return changes
}

/**
 * @param cluster - running cluster
 * @param changes - changes that the platform has accepted
 * @returns for each change, the time in ms until every process had accepted it or a newer one
 */
export function listPropagationTimes (cluster: LocalCluster, changes: readonly Change[]): readonly number[] {
  const accepted = cluster.listProcessNames().map(name => cluster.listAcceptedVersions(name))
  return changes.map(({ version, atMs }) => Math.max(...accepted.map(list => (list.find(entry => entry.version >= version)?.atMs ?? Infinity) - atMs)))
}

async function writeChange (url: string): Promise<Change> {
  const stored = await read(url, ROOT_KEY)
  const root = JSON.parse(stored.value) as ConfigurationRoot
  const name = Object.keys(root.parts).find(part => part.startsWith('teams-')) ?? ''
  const teams = JSON.parse((await read(url, formatPartKey(name, root.parts[name] ?? ''))).value) as readonly Team[]
  const json = JSON.stringify(teams.map((team, index) => index === 0 ? { ...team, weight: team.weight + 1 } : team))
  const hash = hashPart(json)
  await write(url, formatPartKey(name, hash), json, 0)
  const version = root.version + 1
  await write(url, ROOT_KEY, JSON.stringify({ ...root, version, parts: { ...root.parts, [name]: hash } }), stored.revision)
  return { version, atMs: Date.now() }
}

async function read (url: string, key: string): Promise<StoredObject> {
  return await (await request(`${url}/v1/objects/${encodeURIComponent(key)}`)).body.json() as StoredObject
}

async function write (url: string, key: string, value: string, revision: number): Promise<void> {
  const response = await request(`${url}/v1/objects/${encodeURIComponent(key)}`, { method: 'PUT', headers: { 'if-match': String(revision) }, body: JSON.stringify({ value }) })
  await response.body.dump()
  if (response.statusCode !== 200) throw new Error(`the platform responded with status ${response.statusCode} to a write`)
}

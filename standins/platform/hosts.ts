/** The platform's list of hosts, readable as of a past time. */

import { z } from 'zod'

/** Body of `PUT /hosts`. */
export const hostsSchema = z.array(z.strictObject({
  name: z.string(),
  domain: z.string(),
  state: z.enum(['live', 'leaving'])
}))

/** One host as the platform lists it. */
export type PlatformHost = z.infer<typeof hostsSchema>[number]

/** How long past lists are kept, in ms. */
const HISTORY_RETENTION_MS = 600_000

/** History of the list of hosts. */
export class HostList {
  #versions: { readonly atMs: number, readonly hosts: readonly PlatformHost[] }[] = []

  private constructor () {}

  /** @returns an empty list */
  static create (): HostList {
    return new HostList()
  }

  /**
   * @param hosts - all live and leaving hosts
   * @param nowMs - monotonic time in ms
   */
  update (hosts: readonly PlatformHost[], nowMs: number): void {
    this.#versions.push({ atMs: nowMs, hosts })
    this.#versions = this.#versions.filter((version, index) =>
      index === this.#versions.length - 1 || nowMs - version.atMs < HISTORY_RETENTION_MS)
  }

  /**
   * @param atMs - monotonic time in ms
   * @returns the list as it was at that time
   */
  listAt (atMs: number): readonly PlatformHost[] {
    return this.#versions.findLast(version => version.atMs <= atMs)?.hosts ?? []
  }
}

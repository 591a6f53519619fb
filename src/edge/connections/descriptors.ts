/** Share of a process's descriptors that callers may take. */

import { readFileSync } from 'node:fs'

/** Part of the descriptors that is kept for endpoints, peers, the platform and operators, and its least count. */
const RESERVED_SHARE = 0.25
const RESERVED_MIN = 64

/** Least count of connections, however few descriptors there are. */
const CONNECTIONS_MIN = 16

/**
 * @returns largest count of descriptors that this process may open; undefined where the operating system does not tell
 */
export function readDescriptorLimit (): number | undefined {
  try {
    return parseDescriptorLimit(readFileSync('/proc/self/limits', 'utf8'))
  } catch {
    // Only Linux has the file.
    return undefined
  }
}

/**
 * @param limits - content of `/proc/self/limits`
 * @returns largest count of descriptors; undefined when it is not limited
 */
export function parseDescriptorLimit (limits: string): number | undefined {
  const soft = /^Max open files\s+(\d+)/m.exec(limits)?.[1]
  return soft === undefined ? undefined : Number(soft)
}

/**
 * @param wanted - unauthenticated connections of peers that the settings allow
 * @param descriptors - largest count of descriptors of the process, when it is known
 * @returns connections that are at most half of what is kept for others than callers
 */
export function computeHandshakesMax (wanted: number, descriptors: number | undefined): number {
  return descriptors === undefined ? wanted : Math.max(CONNECTIONS_MIN, Math.min(wanted, Math.floor(computeReserved(descriptors) / 2)))
}

function computeReserved (descriptors: number): number {
  return Math.max(RESERVED_MIN, Math.ceil(descriptors * RESERVED_SHARE))
}

/**
 * @param wanted - connections that the settings allow
 * @param descriptors - largest count of descriptors of the process, when it is known
 * @returns connections that leave enough descriptors for everything else
 */
export function computeConnectionsMax (wanted: number, descriptors: number | undefined): number {
  if (descriptors === undefined) return wanted
  return Math.max(CONNECTIONS_MIN, Math.min(wanted, descriptors - computeReserved(descriptors)))
}

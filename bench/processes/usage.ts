/** Processor time, memory and written bytes of a process, from /proc. */

import { readFileSync } from 'node:fs'

/** Clock ticks per second of /proc/PID/stat on Linux. */
const TICKS_PER_S = 100

const KIB = 1024
const MIB = 1024 * 1024

/**
 * @param pid - process id
 * @returns user and system time so far in seconds
 */
export function readCpuSeconds (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S
}

/**
 * @param pid - process id
 * @returns resident memory in MiB
 */
export function readResidentMib (pid: number): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(match?.[1] ?? 0) * KIB / MIB
}

/**
 * Reads how many bytes a process has written to sockets, pipes and files. TCP and
 * IP headers are not included; log lines are, so callers subtract the size of the log.
 *
 * @param pid - process id
 * @returns bytes written so far
 */
export function readWrittenBytes (pid: number): number {
  return Number(/^wchar: (\d+)$/m.exec(readFileSync(`/proc/${pid}/io`, 'utf8'))?.[1] ?? 0)
}

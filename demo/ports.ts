/** The demo's fixed ports on loopback, below the range that systems use for outgoing connections. */

import { createServer } from 'node:net'

export const IP = '127.0.0.1'

export const PORTS = {
  platform: 27100,
  engineNorth: 27110,
  engineSouth: 27111,
  counterNorth: 27112,
  counterSouth: 27113,
  entryNorthCallers: 27120,
  entrySouthCallers: 27121,
  entryNorthOperations: 27122,
  entrySouthOperations: 27123,
  entryNorthPeers: 27124,
  entrySouthPeers: 27125,
  guidanceNorthPeers: 27130,
  guidanceSouthPeers: 27131,
  counterNorthPeers: 27132,
  counterSouthPeers: 27133,
  guidanceNorthOperations: 27140,
  guidanceSouthOperations: 27141,
  counterNorthOperations: 27142,
  counterSouthOperations: 27143
} as const

/** @returns the ports that another program uses */
export async function findTakenPorts (): Promise<readonly number[]> {
  const taken: number[] = []
  for (const port of Object.values(PORTS)) {
    if (await isTaken(port)) taken.push(port)
  }
  return taken
}

async function isTaken (port: number): Promise<boolean> {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => { resolve(true) })
    server.listen(port, IP, () => { server.close(() => { resolve(false) }) })
  })
}

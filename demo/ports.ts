/** The demo's fixed ports on loopback. */

import { createServer } from 'node:net'

export const IP = '127.0.0.1'

export const PORTS = {
  platform: 47100,
  engineNorth: 47110,
  engineSouth: 47111,
  counterNorth: 47112,
  counterSouth: 47113,
  entryNorthCallers: 47120,
  entrySouthCallers: 47121,
  entryNorthOperations: 47122,
  entrySouthOperations: 47123,
  entryNorthPeers: 47124,
  entrySouthPeers: 47125,
  guidanceNorthPeers: 47130,
  guidanceSouthPeers: 47131,
  counterNorthPeers: 47132,
  counterSouthPeers: 47133,
  guidanceNorthOperations: 47140,
  guidanceSouthOperations: 47141,
  counterNorthOperations: 47142,
  counterSouthOperations: 47143
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

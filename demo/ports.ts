/** The demo's ports on loopback, by default below the ephemeral port range. */

import { createServer } from 'node:net'

export const IP = '127.0.0.1'

/** First of the ports; tests set another one to avoid conflicts with a running demo. */
const FIRST_PORT = Number(process.env['DEMO_FIRST_PORT'] ?? 27_100)

export const PORTS = {
  platform: FIRST_PORT,
  engineNorth: FIRST_PORT + 10,
  engineSouth: FIRST_PORT + 11,
  counterNorth: FIRST_PORT + 12,
  counterSouth: FIRST_PORT + 13,
  entryNorthCallers: FIRST_PORT + 20,
  entrySouthCallers: FIRST_PORT + 21,
  entryNorthOperations: FIRST_PORT + 22,
  entrySouthOperations: FIRST_PORT + 23,
  entryNorthPeers: FIRST_PORT + 24,
  entrySouthPeers: FIRST_PORT + 25,
  guidanceNorthPeers: FIRST_PORT + 30,
  guidanceSouthPeers: FIRST_PORT + 31,
  counterNorthPeers: FIRST_PORT + 32,
  counterSouthPeers: FIRST_PORT + 33,
  guidanceNorthOperations: FIRST_PORT + 40,
  guidanceSouthOperations: FIRST_PORT + 41,
  counterNorthOperations: FIRST_PORT + 42,
  counterSouthOperations: FIRST_PORT + 43
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

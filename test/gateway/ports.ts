import { createSocket } from 'node:dgram'
import { once } from 'node:events'

/**
 * Ports below those that operating systems give to outgoing connections, which may take a port that was
 * free a moment ago, and above the blocks of the deployments in `test/processes` and `bench`.
 */
const FIRST_PORT = 28_000
const PORTS = 4_500

const TRIES_MAX = 20

/**
 * Starts a TCP listener on a port that nobody uses.
 *
 * @param start - starts the listener; rejects with the code EADDRINUSE when the port is taken
 * @returns the port
 */
export async function startOnFreePort (start: (port: number) => Promise<void>): Promise<number> {
  for (let tries = 1; ; tries += 1) {
    const port = FIRST_PORT + Math.floor(PORTS * Math.random())
    try {
      await start(port)
      return port
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE' || tries >= TRIES_MAX) throw error
    }
  }
}

/** @returns a UDP port of the loopback address that was free just now */
export async function findUdpPort (): Promise<number> {
  const socket = createSocket('udp4')
  socket.bind(0, '127.0.0.1')
  await once(socket, 'listening')
  const { port } = socket.address()
  socket.close()
  await once(socket, 'close')
  return port
}

/** Starts listeners of tests on a port that nobody uses. */

/** Ports below those that operating systems give to outgoing connections, which may take a port that was free a moment ago. */
const FIRST_PORT = 20_000
const PORTS = 12_000

const TRIES_MAX = 20

/**
 * @param start - starts a listener; rejects with the code EADDRINUSE when the port is taken
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

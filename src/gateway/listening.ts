/** Opens listeners although an earlier process may still have their addresses. */

/** Interval in ms at which an address in use is tried again, and the time after which the start fails. */
const RETRY_INTERVAL_MS = 100
const RETRY_MAX_MS = 5_000

/**
 * Opens a listener, and tries again while its address is in use: connections and processes
 * of the time before a restart may hold it for a while.
 *
 * @param listen - opens the listener
 * @param handleInUse - called before the first further try
 * @throws the error of the last try
 */
export async function openListener (listen: () => Promise<void>, handleInUse: () => void): Promise<void> {
  const endsAtMs = performance.now() + RETRY_MAX_MS
  for (let tries = 0; ; tries += 1) {
    try {
      await listen()
      return
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE' || performance.now() > endsAtMs) throw error
      if (tries === 0) handleInUse()
      await new Promise(resolve => { setTimeout(resolve, RETRY_INTERVAL_MS) })
    }
  }
}

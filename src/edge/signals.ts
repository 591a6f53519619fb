/** Signal handlers for the planned stop and for reloading the settings. */

/** Exit code after a planned stop that aborted unfinished work. */
export const EXIT_WORK_CUT = 1

/**
 * Registers a handler for SIGHUP, which by default would end the process.
 *
 * @param reload - reloads the settings; called on each signal
 */
export function registerReloadSignal (reload: () => void): void {
  process.on('SIGHUP', reload)
}

/**
 * Registers handlers for SIGTERM and SIGINT. The first signal starts the planned
 * stop; every later one ends the process at once.
 *
 * @param leave - starts the planned stop; called on the first signal
 * @param abort - ends the process; called on every later signal
 */
export function registerStopSignals (leave: () => void, abort: () => void): void {
  let signals = 0
  const handleSignal = (): void => {
    signals += 1
    if (signals === 1) leave()
    else abort()
  }
  process.on('SIGTERM', handleSignal)
  process.on('SIGINT', handleSignal)
}

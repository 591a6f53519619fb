/** Planned stop on a signal; a second signal ends the process at once. */

/** Exit code after a planned stop that cut off work. */
export const EXIT_WORK_CUT = 1

/**
 * Registers the signal that settings changed; without a handler it ends the process.
 *
 * @param reload - called on each signal
 */
export function registerReloadSignal (reload: () => void): void {
  process.on('SIGHUP', reload)
}

/**
 * @param leave - starts the planned stop
 * @param abort - ends the process; called on the second signal
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

/** Signal handlers for the planned stop and for reloading the settings. */

/** Exit code after a planned stop that aborted unfinished work. */
export const EXIT_WORK_CUT = 1

let held: readonly (() => void)[] = []

/**
 * Handles signals until the handlers of the process are registered: without one, SIGHUP
 * would end it. Nothing has been taken yet, so that a stop ends it at once.
 */
export function holdSignals (): void {
  const ignore = (): void => {}
  const stop = (): void => { process.exit(0) }
  process.on('SIGHUP', ignore)
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  held = [() => { process.off('SIGHUP', ignore) }, () => { process.off('SIGTERM', stop).off('SIGINT', stop) }]
}

/** Ends the effect of `holdSignals`. */
export function releaseSignals (): void {
  for (const release of held) release()
  held = []
}

/**
 * Registers a handler for SIGHUP, which by default would end the process.
 *
 * @param reload - reloads the settings; called on each signal
 */
export function registerReloadSignal (reload: () => void): void {
  process.on('SIGHUP', reload)
}

/**
 * Registers handlers for SIGTERM and SIGINT. The first signal starts the planned stop.
 *
 * @param leave - starts the planned stop; called on the first signal
 * @param abort - called with every later signal
 */
export function registerStopSignals (leave: () => void, abort: (signal: NodeJS.Signals) => void): void {
  let signals = 0
  const handleSignal = (signal: NodeJS.Signals): void => {
    signals += 1
    if (signals === 1) leave()
    else abort(signal)
  }
  process.on('SIGTERM', handleSignal)
  process.on('SIGINT', handleSignal)
}

/** Startup and graceful shutdown of the long-running binaries. */

import { cac } from 'cac'
import type { Either } from 'purify-ts'
import { formatFaults } from '../settings/index.js'
import type { SettingsFault } from '../settings/index.js'
import { EXIT_WORK_CUT, registerStopSignals } from '../edge/signals.js'

/** Exit code when the settings are invalid. */
const EXIT_BAD_SETTINGS = 2

/** Exit code when the process could not start. */
const EXIT_NOT_STARTED = 1

/** A process that runs until it is told to leave. */
export interface RunningProcess {
  start (): Promise<void>
  /** Starts the graceful shutdown; calls `handleLeaveEnd` when it has finished. */
  leave (handleLeaveEnd: (workCut: boolean) => void): void
  stop (): Promise<void>
  /** @returns number of requests that would be aborted by a stop now */
  countWork (): number
  /** Logs that the process exits with requests still running. */
  logWorkCut (count: number): void
}

/**
 * Reads settings, starts the process and ends it on a signal.
 *
 * @param name - name of the binary
 * @param load - reads the settings file
 * @param create - creates the process from its settings
 */
export function runBinary<S> (name: string, load: (path: string) => Either<readonly SettingsFault[], S>, create: (settings: S) => Promise<RunningProcess>): void {
  const cli = cac(name)
  cli.command('<settings>', 'Run with a TOML settings file').action((path: string) => {
    load(path).caseOf({
      Left: faults => {
        process.stderr.write(formatFaults(faults))
        process.exitCode = EXIT_BAD_SETTINGS
      },
      Right: settings => {
        startProcess(create, settings).catch((error: unknown) => {
          process.stderr.write(`${name}: ${error instanceof Error ? error.message : String(error)}\n`)
          process.exit(EXIT_NOT_STARTED)
        })
      }
    })
  })
  cli.help()
  cli.parse()
}

async function startProcess<S> (create: (settings: S) => Promise<RunningProcess>, settings: S): Promise<void> {
  const running = await create(settings)
  await running.start()
  registerStopSignals(
    () => { running.leave(workCut => { stopProcess(running, workCut ? EXIT_WORK_CUT : 0) }) },
    () => {
      running.logWorkCut(running.countWork())
      process.exit(EXIT_WORK_CUT)
    }
  )
}

function stopProcess (running: RunningProcess, code: number): void {
  running.stop().finally(() => { process.exit(code) })
}

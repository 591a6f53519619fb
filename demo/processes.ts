/** Child processes of the demo, each started by its command line. */

import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Time after which a process that does not stop is killed, in ms. */
const STOP_TIMEOUT_MS = 20_000

const DIST = fileURLToPath(new URL('..', import.meta.url))

/** Limits of the operating system and of the runtime for one process. */
export interface ProcessLimits {
  /** Largest heap of V8 in MB. */
  readonly heapMb: number
  readonly descriptors: number
}

/** Starts child processes and stops them all at the end. */
export class Processes {
  readonly #logFolder: string
  readonly #children: { readonly name: string, readonly child: ChildProcess }[] = []

  private constructor (logFolder: string) {
    this.#logFolder = logFolder
  }

  /**
   * @param logFolder - folder for each process's output
   * @returns a manager without processes
   */
  static create (logFolder: string): Processes {
    return new Processes(logFolder)
  }

  /**
   * Starts a process that runs until it is stopped.
   *
   * @param name - name of its log file
   * @param script - path below the build folder
   * @param args - arguments
   * @param limits - limits of the process; those of this process when absent
   * @returns the child process
   */
  start (name: string, script: string, args: readonly string[], limits?: ProcessLimits): ChildProcess {
    const command = [process.execPath, ...limits === undefined ? [] : [`--max-old-space-size=${limits.heapMb}`], join(DIST, script), ...args]
    const [file = '', ...rest] = limits === undefined ? command : ['sh', '-c', `ulimit -n ${limits.descriptors}; exec "$@"`, 'sh', ...command]
    const child = spawn(file, rest, { stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.#logFolder, `${name}.log`))
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    this.#children.push({ name, child })
    return child
  }

  /**
   * Runs a command to its end.
   *
   * @param script - path below the build folder
   * @param args - arguments
   * @returns its exit code and output
   */
  async run (script: string, args: readonly string[]): Promise<{ readonly code: number, readonly output: string }> {
    const child = spawn(process.execPath, [join(DIST, script), ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    let output = ''
    child.stdout.on('data', (data: Buffer) => { output += data.toString() })
    child.stderr.on('data', (data: Buffer) => { output += data.toString() })
    return await new Promise(resolve => { child.on('close', code => { resolve({ code: code ?? 1, output }) }) })
  }

  /**
   * Sends SIGTERM to all processes, the last started first, and waits until they have exited.
   *
   * @returns name and exit code of each; the code is undefined when it was killed
   */
  async stop (): Promise<readonly { readonly name: string, readonly code: number | undefined }[]> {
    return await Promise.all(this.#children.reverse().map(async ({ name, child }) => {
      const code = await stopChild(child)
      return { name, code }
    }))
  }
}

async function stopChild (child: ChildProcess): Promise<number | undefined> {
  if (child.exitCode !== null) return child.exitCode
  if (child.signalCode !== null) return undefined
  return await new Promise(resolve => {
    const timer = setTimeout(() => { child.kill('SIGKILL') }, STOP_TIMEOUT_MS)
    child.on('exit', code => {
      clearTimeout(timer)
      resolve(code ?? undefined)
    })
    child.kill('SIGTERM')
  })
}

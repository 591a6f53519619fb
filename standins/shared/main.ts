/** Command-line part of the stand-ins' main files. */

import { cac } from 'cac'

/** Exit code for bad arguments. */
const EXIT_BAD_INPUT = 2

/** Option of a stand-in's main file: name as on the command line, help text and default. */
export type OptionTable = Readonly<Record<string, readonly [help: string, fallback: number | string | boolean]>>

/** Parsed options by name in camel case. */
export type OptionValues<T extends OptionTable> = { readonly [K in keyof T]: T[K][1] extends number ? number : T[K][1] extends boolean ? boolean : string }

/** A started stand-in. */
export interface RunningStandin {
  readonly url: string
  stop (): Promise<void>
}

/**
 * Starts a stand-in with options of the command line, prints its URL on standard
 * output and stops it on SIGTERM and SIGINT.
 *
 * @param name - name for the help text
 * @param table - options by name in camel case
 * @param start - starts the stand-in
 */
export async function runMain<T extends OptionTable> (
  name: string, table: T, start: (values: OptionValues<T>) => Promise<RunningStandin>
): Promise<void> {
  const cli = cac(name)
  for (const [option, [help, fallback]] of Object.entries(table)) {
    const flag = option.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
    cli.option(typeof fallback === 'boolean' ? `--${flag}` : `--${flag} <value>`, help, { default: fallback })
  }
  cli.help()
  const { options } = cli.parse()
  if (options['help'] === true) return
  const values = new Map<string, unknown>(Object.entries(table).map(([option, [, fallback]]) => {
    const value: unknown = options[option] ?? fallback
    return [option, typeof fallback === 'string' ? String(value) : value]
  }))
  const invalidOptions = [
    ...Object.keys(options).filter(option => option !== '--' && table[option] === undefined),
    ...Object.entries(table).filter(([option, [, fallback]]) => typeof values.get(option) !== typeof fallback).map(([option]) => option)
  ]
  if (invalidOptions.length > 0) {
    process.stderr.write(`${name}: unknown option or wrong value: ${invalidOptions.join(', ')}; --help lists the options\n`)
    process.exitCode = EXIT_BAD_INPUT
    return
  }
  const standin = await start(Object.fromEntries(values) as OptionValues<T>)
  process.stdout.write(`${standin.url}\n`)
  const stop = (): void => { standin.stop().then(() => { process.exit(0) }, () => { process.exit(1) }) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

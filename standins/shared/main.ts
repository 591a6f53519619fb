/** Shared entry point of the stand-ins as processes of their own. */

import { cac } from 'cac'

/** Exit code for invalid arguments. */
const EXIT_BAD_INPUT = 2

/** Command-line options by name in camel case, each with its help text and default value. */
export type OptionTable = Readonly<Record<string, readonly [help: string, fallback: number | string | boolean]>>

/** Parsed options by name in camel case; each has the type of its default value. */
export type OptionValues<T extends OptionTable> = { readonly [K in keyof T]: T[K][1] extends number ? number : T[K][1] extends boolean ? boolean : string }

/** A running stand-in. */
export interface RunningStandin {
  readonly url: string
  stop (): Promise<void>
}

/**
 * Starts a stand-in with the options from the command line, prints its URL to
 * standard output and stops it on SIGTERM or SIGINT.
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
    process.stderr.write(`${name}: unknown option or invalid value: ${invalidOptions.join(', ')}; run with --help to list the options\n`)
    process.exitCode = EXIT_BAD_INPUT
    return
  }
  const standin = await start(Object.fromEntries(values) as OptionValues<T>)
  process.stdout.write(`${standin.url}\n`)
  const stop = (): void => { standin.stop().then(() => { process.exit(0) }, () => { process.exit(1) }) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

/** The commands and their arguments. */

import { cac } from 'cac'
import type { CAC, Command } from 'cac'
import { findNearestName } from '../settings/load.js'
import { formatFaults, loadCliSettings } from '../settings/index.js'
import { describeUnavailable } from './change.js'
import { runApply } from './commands/apply.js'
import { runAudit } from './commands/audit.js'
import { runCheck } from './commands/check.js'
import { runDomain } from './commands/domain.js'
import { runDrain } from './commands/drain.js'
import { runExplain } from './commands/explain.js'
import { runExplainRequest } from './commands/explain-request.js'
import { runOperatorKey } from './commands/operator-key.js'
import { runProfiles } from './commands/profiles.js'
import { runShow } from './commands/show.js'
import { runStatus } from './commands/status.js'
import { runTeamKey } from './commands/team-key.js'
import { buildContext } from './context.js'
import type { CommandContext, CommandEnvironment } from './context.js'
import { ArgumentError, findInteger, getInteger, getText, isFlagSet } from './options.js'
import type { Options } from './options.js'
import { EXIT, buildFailure } from './result.js'
import type { CommandResult, ExitCode } from './result.js'
import { PlatformUnavailableError } from './store.js'

/** Settings file when `--settings` is absent. */
const SETTINGS_FILE_DEFAULT = 'heatherdoor.toml'

/** Number of changes that `audit` prints when `--last` is absent. */
const AUDIT_COUNT_DEFAULT = 20

const BY_OPTION = ['--by <name>', 'Who makes the change'] as const
const REASON_OPTION = ['--reason <text>', 'Why, for the audit trail'] as const
const EXPECT_OPTION = ['--expect <version>', 'Version that you saw; the change is made only to this version'] as const

/** Standard output and error output. */
export interface Output {
  writeOut (text: string): void
  writeError (text: string): void
}

type RunCommand = (options: Options) => Promise<CommandResult> | CommandResult

/**
 * Runs one command.
 *
 * @param args - arguments after the program's name
 * @param environment - platform, entries and clock
 * @param output - standard output and error output
 * @returns exit code
 */
export async function runProgram (args: readonly string[], environment: CommandEnvironment, output: Output): Promise<ExitCode> {
  const cli = cac('heatherdoor')
  let result: CommandResult | undefined
  const addCommand = (command: Command, run: (...values: readonly unknown[]) => RunCommand): void => {
    command.action(async (...values: readonly unknown[]) => {
      const options = values.at(-1) as Options
      result = await run(...values.slice(0, -1))(options)
    })
  }
  cli.option('--json', 'Print JSON')
  cli.option('--settings <file>', `Settings of the command line (default: ${SETTINGS_FILE_DEFAULT})`)
  cli.help()
  addLocalCommands(cli, addCommand)
  addChangeCommands(cli, addCommand, environment)
  addReadCommands(cli, addCommand, environment)
  addExplainCommand(cli, addCommand, environment)
  try {
    /* cac parses an empty value as the number 0, which is a valid version. */
    if (args.some(arg => /^(--[a-z-]+=)?$/.test(arg))) throw new ArgumentError('an argument is empty')
    cli.parse(['node', 'heatherdoor', ...args], { run: false })
    if (cli.options['help'] === true) return EXIT.done
    if (cli.matchedCommand === undefined) result = describeUnknownCommand(cli)
    else await cli.runMatchedCommand()
  } catch (error) {
    result = describeError(error)
  }
  return printResult(result ?? buildFailure(EXIT.failed, 'The command gave no result.'), cli.options['json'] === true, output)
}

type AddCommand = (command: Command, run: (...values: readonly unknown[]) => RunCommand) => void

function addLocalCommands (cli: CAC, addCommand: AddCommand): void {
  addCommand(cli.command('check <...files>', 'Check configuration and settings files, without any network call'),
    files => () => runCheck((files as readonly unknown[]).map(String)))
  addCommand(cli.command('team-key <team>', 'Make an API key for a team; prints it once with its salted hash'),
    team => () => runTeamKey(String(team)))
  addCommand(cli.command('operator-key <operator>', 'Make a credential for an operator; prints it once with its salted hash'),
    operator => () => runOperatorKey(String(operator)))
}

function addChangeCommands (cli: CAC, addCommand: AddCommand, environment: CommandEnvironment): void {
  addCommand(cli.command('apply <file>', 'Put a configuration file in force').option(...EXPECT_OPTION).option(...BY_OPTION).option(...REASON_OPTION),
    file => options => {
      const args = { file: String(file), expect: getInteger(options, 'expect', 0), ...getAuthor(options) }
      return runWithSettings(options, environment, async context => await runApply(context, args))
    })
  addCommand(cli.command('domain <out|in> <name>', 'Take a failure domain out of service, or bring it back')
    .option(...BY_OPTION).option(...REASON_OPTION).option(...EXPECT_OPTION).option('--force', 'Also when no failure domain stays in service'),
  (state, name) => options => {
    if (state !== 'out' && state !== 'in') throw new ArgumentError(`domain takes out or in, not ${String(state)}`)
    const args = { state, name: String(name), force: isFlagSet(options, 'force'), ...getAuthor(options), ...findExpected(options) } as const
    return runWithSettings(options, environment, async context => await runDomain(context, args))
  })
  addCommand(cli.command('drain <host>', 'Send no new work to a host').option(...BY_OPTION).option(...REASON_OPTION).option(...EXPECT_OPTION).option('--undo', 'Bring the host back'),
    host => options => {
      const args = { host: String(host), undo: isFlagSet(options, 'undo'), ...getAuthor(options), ...findExpected(options) }
      return runWithSettings(options, environment, async context => await runDrain(context, args))
    })
}

function addReadCommands (cli: CAC, addCommand: AddCommand, environment: CommandEnvironment): void {
  addCommand(cli.command('status', 'Ask the entries for their state'),
    () => options => runWithSettings(options, environment, runStatus))
  addCommand(cli.command('show', 'Print the configuration in force'),
    () => options => runWithSettings(options, environment, runShow))
  addCommand(cli.command('profiles', 'List the profiles in force and explain them'),
    () => options => runWithSettings(options, environment, runProfiles))
  addCommand(cli.command('audit', 'Print the last changes').option('--last <count>', `Number of changes (default: ${AUDIT_COUNT_DEFAULT})`),
    () => options => {
      const last = findInteger(options, 'last', 1) ?? AUDIT_COUNT_DEFAULT
      return runWithSettings(options, environment, async context => await runAudit(context, last))
    })
}

function addExplainCommand (cli: CAC, addCommand: AddCommand, environment: CommandEnvironment): void {
  addCommand(cli.command('explain <request-id|host> [path]', 'Print what became of a request, step by step; with a path, where a request would go now')
    .option('--gateway <url>', 'Gateway that is asked about a host and a path, by its listener for metrics').option('--key-file <file>', 'File with the key of the operators')
    .option('--team <name>', 'Team of the caller').option('--prompt-tokens <count>', 'Tokens of the prompt').option('--answer-tokens <count>', 'Most tokens of the answer'),
  (first, path) => async options => {
    if (path === undefined && options['gateway'] !== undefined) throw new ArgumentError('a path is needed after the host')
    if (path === undefined) return await runWithSettings(options, environment, async context => await runExplain(context, String(first)))
    return await runExplainRequest(environment, {
      host: String(first),
      path: String(path),
      gateway: getText(options, 'gateway'),
      keyFile: getText(options, 'keyFile'),
      team: options['team'] === undefined ? undefined : getText(options, 'team'),
      promptTokens: findInteger(options, 'promptTokens', 0),
      answerTokens: findInteger(options, 'answerTokens', 0)
    })
  })
}

function getAuthor (options: Options): { readonly by: string, readonly reason: string } {
  return { by: getText(options, 'by'), reason: getText(options, 'reason') }
}

function findExpected (options: Options): { readonly expect?: number } {
  const expect = findInteger(options, 'expect', 0)
  return expect === undefined ? {} : { expect }
}

async function runWithSettings (options: Options, environment: CommandEnvironment, run: (context: CommandContext) => Promise<CommandResult>): Promise<CommandResult> {
  const file = options['settings'] === undefined ? SETTINGS_FILE_DEFAULT : getText(options, 'settings')
  return await loadCliSettings(file).caseOf({
    Left: async faults => buildFailure(EXIT.badInput, formatFaults(faults), { faults }),
    Right: async settings => await run(buildContext(environment, settings))
  })
}

function describeUnknownCommand (cli: CAC): CommandResult {
  const names = cli.commands.map(({ name }) => name)
  const [name] = cli.args
  if (name === undefined) return buildFailure(EXIT.badInput, `A command is needed: ${names.join(', ')}. heatherdoor --help explains them.`)
  const nearest = findNearestName(name, names)
  return buildFailure(EXIT.badInput, `There is no command ${name}.${nearest === undefined ? '' : ` Did you mean ${nearest}?`} heatherdoor --help lists the commands.`)
}

function describeError (error: unknown): CommandResult {
  if (error instanceof PlatformUnavailableError) return describeUnavailable(error)
  if (error instanceof ArgumentError) return buildFailure(EXIT.badInput, error.message)
  if (!(error instanceof Error)) return buildFailure(EXIT.failed, String(error))
  return buildFailure(error.name === 'CACError' ? EXIT.badInput : EXIT.failed, error.message)
}

function printResult (result: CommandResult, isJson: boolean, output: Output): ExitCode {
  if (isJson) output.writeOut(`${JSON.stringify(result.json, undefined, 2)}\n`)
  else if (result.code === EXIT.done) output.writeOut(result.text)
  else output.writeError(result.text)
  return result.code
}

import { readFileSync } from 'node:fs'
import { assertNever } from '../../kernel/errors.js'
import type { Explanation } from '../../gateway/request-explainer.js'
import type { CommandEnvironment, OperationsResult } from '../context.js'
import { formatExplanation } from '../explanation-text.js'
import { ArgumentError } from '../options.js'
import { EXIT, buildDone, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'

/** A request to explain. */
export interface ExplainRequestArgs {
  readonly host: string
  readonly path: string
  /** URL of the gateway's listener for metrics. */
  readonly gateway: string
  /** File with the key of the operators. */
  readonly keyFile: string
  readonly team: string | undefined
  readonly promptTokens: number | undefined
  readonly answerTokens: number | undefined
}

/**
 * Asks a gateway where a request would go now; nothing is sent to an endpoint.
 *
 * @param environment - access to gateways
 * @param args - the request, and whom to ask
 * @returns the explanation; exit codes of their own when there is none
 */
export async function runExplainRequest (environment: CommandEnvironment, args: ExplainRequestArgs): Promise<CommandResult> {
  const url = buildUrl(args)
  const key = readKey(args.keyFile)
  environment.reportProgress(`asking ${args.gateway}`)
  const result = await environment.readGateway(url, { authorization: `Bearer ${key}` })
  return describeResult(result, args)
}

function buildUrl ({ host, path, gateway, team, promptTokens, answerTokens }: ExplainRequestArgs): string {
  if (!path.startsWith('/')) throw new ArgumentError(`the path must start with /, not ${JSON.stringify(path)}`)
  const url = URL.canParse(gateway) ? new URL('/explain', gateway) : undefined
  if (url === undefined || !['http:', 'https:'].includes(url.protocol)) throw new ArgumentError(`--gateway must be a URL such as http://10.0.0.1:9464, not ${JSON.stringify(gateway)}`)
  const query = { host, path, team, prompt_tokens: promptTokens, answer_tokens: answerTokens }
  for (const [name, value] of Object.entries(query)) if (value !== undefined) url.searchParams.set(name, String(value))
  return url.href
}

function readKey (file: string): string {
  try {
    return readFileSync(file, 'utf8').trim()
  } catch (error) {
    throw new ArgumentError(`the key cannot be read: ${error instanceof Error ? error.message : String(error)}`)
  }
}

function describeResult (result: OperationsResult, args: ExplainRequestArgs): CommandResult {
  const { gateway } = args
  if (result.kind === 'unreachable') return buildFailure(EXIT.gatewayNotReached, `The gateway ${gateway} does not answer: ${result.reason}`, { gateway })
  const { status, body } = result
  if (status === 401) return buildFailure(EXIT.wrongKey, `The gateway ${gateway} refuses the key of --key-file.`, { gateway, status })
  if (status === 400) return buildFailure(EXIT.badInput, `The gateway ${gateway} refuses the question: ${findMessage(body)}`, { gateway, status })
  if (status === 404) return buildFailure(EXIT.failed, `The gateway ${gateway} explains nothing: its settings have no [operators] key.`, { gateway, status })
  if (status !== 200 || !isExplanation(body)) return buildFailure(EXIT.failed, `${gateway} gives no explanation (status ${status}); it may be an older gateway, or none.`, { gateway, status })
  return describeExplanation(body, args)
}

function describeExplanation (explanation: Explanation, { host, path, gateway }: ExplainRequestArgs): CommandResult {
  const json = { gateway, explanation }
  switch (explanation.kind) {
    case 'explained': return buildDone(formatExplanation(explanation, host, path), json)
    case 'unknown-path': return buildFailure(EXIT.unknownPath, `No route of configuration ${explanation.version} has host ${host} and path ${path}.`, json)
    case 'unauthenticated': return buildFailure(EXIT.unknownCaller, `The route needs a credential; name a team with --team. (Configuration ${explanation.version}.)`, json)
    case 'unknown-team': return buildFailure(EXIT.unknownCaller, `Configuration ${explanation.version} has no credential of a team ${explanation.team}.`, json)
    case 'unconfigured': return buildFailure(EXIT.gatewayNotInformed, 'The gateway has no configuration yet; it refuses every request with no-configuration.', json)
    case 'uninformed': return buildFailure(EXIT.gatewayNotInformed, `The gateway has configuration ${explanation.version}, but does not know yet what crashed endpoints before it started; it refuses every request with no-configuration.`, json)
    default: return assertNever(explanation)
  }
}

function findMessage (body: unknown): string {
  return (body as { readonly error?: { readonly message?: string } } | undefined)?.error?.message ?? ''
}

const KINDS: readonly Explanation['kind'][] = ['explained', 'unknown-path', 'unauthenticated', 'unknown-team', 'unconfigured', 'uninformed']

function isExplanation (body: unknown): body is Explanation {
  return KINDS.includes((body as { readonly kind?: Explanation['kind'] } | undefined)?.kind as Explanation['kind'])
}

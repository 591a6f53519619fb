import type { DomainState } from '../../kernel/configuration.js'
import { findNearestName } from '../../settings/load.js'
import { applyChange } from '../change.js'
import type { TargetChoice } from '../change.js'
import type { CommandContext } from '../context.js'
import type { Snapshot } from '../parts.js'
import { EXIT, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'

/** Arguments of `domain`. */
export interface DomainArguments {
  readonly state: DomainState
  readonly name: string
  readonly by: string
  readonly reason: string
  readonly expect?: number
  /** Takes the domain out even when no failure domain stays in service. */
  readonly force: boolean
}

/**
 * Takes a failure domain out of service or brings it back.
 *
 * @param context - platform and clock
 * @param args - domain and state
 * @returns the result for the operator
 */
export async function runDomain (context: CommandContext, args: DomainArguments): Promise<CommandResult> {
  return await applyChange(context, {
    command: `domain ${args.state} ${args.name}`,
    by: args.by,
    reason: args.reason,
    ...(args.expect === undefined ? {} : { expect: args.expect }),
    chooseTarget: snapshot => chooseDomainTarget(snapshot, args)
  })
}

/**
 * @param snapshot - configuration in force
 * @param args - domain and state
 * @returns the states to put in force, or a refusal
 */
export function chooseDomainTarget ({ configuration, root }: Snapshot, args: DomainArguments): TargetChoice {
  const names = configuration.domains.map(({ name }) => name)
  if (root === undefined || !names.includes(args.name)) {
    const nearest = findNearestName(args.name, names)
    const hint = nearest === undefined ? `Failure domains: ${names.join(', ') || 'none'}.` : `Did you mean ${nearest}?`
    return { kind: 'refused', result: buildFailure(EXIT.badInput, `There is no failure domain ${args.name}. ${hint}`) }
  }
  const hasOtherInService = configuration.domains.some(({ name, state }) => name !== args.name && state === 'in')
  if (args.state === 'out' && !hasOtherInService && !args.force) {
    return { kind: 'refused', result: buildFailure(EXIT.failed, `${args.name} is the last failure domain in service; without it every request is refused. Add --force to take it out.`) }
  }
  return {
    kind: 'target',
    target: { domainStates: { ...root.domainStates, [args.name]: args.state }, drainingHosts: root.drainingHosts }
  }
}

import { findNearestName } from '../../settings/load.js'
import { applyChange } from '../change.js'
import type { TargetChoice } from '../change.js'
import type { CommandContext } from '../context.js'
import type { Snapshot } from '../parts.js'
import { EXIT, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'

/** Arguments of `drain`. */
export interface DrainArguments {
  readonly host: string
  /** Brings the host back into service. */
  readonly undo: boolean
  readonly by: string
  readonly reason: string
  readonly expect?: number
}

/**
 * Stops sending new work to a host, or brings it back into service.
 *
 * @param context - platform and clock
 * @param args - host, and whether to drain it or to bring it back
 * @returns the result for the operator
 */
export async function runDrain (context: CommandContext, args: DrainArguments): Promise<CommandResult> {
  return await applyChange(context, {
    command: `drain ${args.host}${args.undo ? ' --undo' : ''}`,
    by: args.by,
    reason: args.reason,
    ...(args.expect === undefined ? {} : { expect: args.expect }),
    chooseTarget: snapshot => chooseDrainTarget(snapshot, args)
  })
}

/**
 * @param snapshot - configuration in force
 * @param args - host, and whether to drain it or to bring it back
 * @returns the hosts to drain, or a refusal
 */
export function chooseDrainTarget ({ configuration, root }: Snapshot, args: DrainArguments): TargetChoice {
  const hosts = [...configuration.entries, ...configuration.endpoints].map(({ host }) => host)
  if (root === undefined || !hosts.includes(args.host)) {
    const nearest = findNearestName(args.host, hosts)
    const hint = nearest === undefined ? 'heatherdoor show lists the hosts.' : `Did you mean ${nearest}?`
    return { kind: 'refused', result: buildFailure(EXIT.badInput, `There is no host ${args.host}. ${hint}`) }
  }
  const others = root.drainingHosts.filter(host => host !== args.host)
  return {
    kind: 'target',
    target: { domainStates: root.domainStates, drainingHosts: args.undo ? others : [...others, args.host].sort() }
  }
}

import type { Context, PluginOptions } from '../../kernel/plugin.js'
import type { EndpointState } from '../../protocol/messages.js'

/**
 * Composes the state that an endpoint process reports with its heartbeats,
 * from the ports that plug-ins of the process provide.
 *
 * @param options - names the service
 * @param leaving - whether the process leaves
 * @param context - gives the ports
 * @returns the state; undefined before the admission plug-in or a service is known
 */
export function buildEndpointState (options: PluginOptions, leaving: boolean, context: Context): EndpointState | undefined {
  const admission = context.findPort('admission')
  if (admission === undefined || options.service === undefined) return undefined
  const outcomes = context.findPort('outcomes')
  const movedTo = outcomes?.getMovedTo()
  const stepMs = context.findPort('experts')?.getStepMs()
  return {
    service: options.service,
    window: outcomes?.getWindow() ?? 0,
    ...admission.describeState(),
    leaving,
    ...(movedTo === undefined ? {} : { movedTo }),
    ...(stepMs === undefined ? {} : { stepMs })
  }
}

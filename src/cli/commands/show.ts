import type { Configuration, EndpointSpec, EntrySpec } from '../../kernel/configuration.js'
import type { CommandContext } from '../context.js'
import { readSnapshot } from '../parts.js'
import type { Snapshot } from '../parts.js'
import { buildDone } from '../result.js'
import type { CommandResult } from '../result.js'

/**
 * Prints the configuration in force. Key hashes are left out.
 *
 * @param context - platform
 * @returns the configuration
 */
export async function runShow (context: CommandContext): Promise<CommandResult> {
  const snapshot = await readSnapshot(context.store, text => { context.environment.reportProgress(text) })
  if (snapshot.root === undefined) return buildDone('No configuration is in force; heatherdoor apply FILE --expect 0 puts the first one in force.\n', { version: 0 })
  const { changedBy, changedAt, reason } = snapshot.root
  const teams = snapshot.configuration.teams.map(({ keys, ...team }) => ({ ...team, keys: keys.length }))
  return buildDone(describeSnapshot(snapshot), { ...snapshot.configuration, teams, changedBy, changedAt, reason })
}

function describeSnapshot ({ root, configuration }: Snapshot): string {
  const lines = [
    `Version ${configuration.version}, changed by ${root?.changedBy ?? ''} at ${root?.changedAt ?? ''} (${root?.reason ?? ''})`,
    '',
    'Failure domains',
    ...configuration.domains.map(({ name, region, state }) => `  ${name}: ${state} (region ${region})`),
    '',
    'Entries',
    ...configuration.entries.map(entry => `  ${entry.id}: ${entry.callerUrl}, ${describeLocation(entry, configuration)}`),
    '',
    'Services and endpoints',
    ...configuration.services.flatMap(service => [
      `  ${service.name}: ${service.kind}${service.model === undefined ? '' : ` ${service.model}`}, profile ${service.profile}`,
      ...configuration.endpoints.filter(endpoint => endpoint.service === service.name).map(endpoint => `    ${describeEndpoint(endpoint, configuration)}`)
    ]),
    '',
    'Groups',
    ...configuration.groups.map(group => `  ${group.name}: ${group.ranks} ranks of ${group.service}, ${group.layers} layers, ${group.expertsPerLayer} experts a layer, ${group.slotsPerRank} replicas a rank and layer`),
    '',
    'Teams',
    ...configuration.teams.map(team => `  ${team.name}: weight ${team.weight}, ${team.keys.length} keys, ${team.services.join(', ')}`)
  ]
  return `${lines.join('\n')}\n`
}

function describeEndpoint (endpoint: EndpointSpec, configuration: Configuration): string {
  const rank = endpoint.group === undefined ? '' : `, rank ${endpoint.rank ?? ''} of ${endpoint.group}`
  return `${endpoint.id}: ${describeLocation(endpoint, configuration)}, cap ${endpoint.warmCap} warm, ${endpoint.coldCap} cold${rank}`
}

function describeLocation ({ host, domain }: EntrySpec | EndpointSpec, configuration: Configuration): string {
  return `host ${host}${configuration.drainingHosts.includes(host) ? ' (draining)' : ''} in ${domain}`
}

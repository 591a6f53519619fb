import { assertNever } from '../../kernel/errors.js'
import type { Idempotency, Profile, Service } from '../../kernel/configuration.js'
import type { PriorityClass } from '../../protocol/messages.js'
import type { CommandContext } from '../context.js'
import { readSnapshot } from '../parts.js'
import { buildDone } from '../result.js'
import type { CommandResult } from '../result.js'

/**
 * Lists the profiles in force and explains them.
 *
 * @param context - platform
 * @returns text for people
 */
export async function runProfiles (context: CommandContext): Promise<CommandResult> {
  const { configuration } = await readSnapshot(context.store, text => { context.environment.reportProgress(text) })
  const { profiles, services } = configuration
  const text = profiles.map(profile => explainProfile(profile, services)).join('\n')
  return buildDone(text === '' ? 'There are no profiles.\n' : text, { profiles })
}

/**
 * @param profile - the profile
 * @param services - services in force, searched for those that use the profile
 * @returns its name and a sentence for each setting
 */
export function explainProfile (profile: Profile, services: readonly Service[]): string {
  const users = services.filter(service => service.profile === profile.name).map(({ name }) => name)
  const lines = [
    explainPriority(profile.priority),
    explainIdempotency(profile.idempotency),
    `A request that cannot finish within ${formatMs(profile.deadlineMs)} is refused or cancelled.`,
    `At most ${profile.queueMax} requests wait at one endpoint; further ones are refused.`,
    `While others wait, one team uses at most ${Math.round(profile.teamShareMax * 100)} % of an endpoint.`,
    explainRetries(profile),
    ...(profile.hedgeAfterMs === undefined ? [] : [`A second attempt is sent when there is no answer after ${formatMs(profile.hedgeAfterMs)}.`]),
    profile.domains === undefined ? 'The work runs in every failure domain.' : `The work runs only in ${profile.domains.join(', ')}.`,
    users.length === 0 ? 'No service selects it.' : `Selected by ${users.join(', ')}.`
  ]
  return `${profile.name}\n${lines.map(line => `  ${line}\n`).join('')}`
}

function explainPriority (priority: PriorityClass): string {
  switch (priority) {
    case 'urgent': return 'Urgent: starts before normal and background work, except for 1 of 8 starts.'
    case 'normal': return 'Normal: starts after urgent and before background work.'
    case 'background': return 'Background: starts when no other work waits, or as 1 of 8 starts.'
    default: return assertNever(priority)
  }
}

function explainIdempotency (idempotency: Idempotency): string {
  switch (idempotency) {
    case 'always': return 'Every request may run more than once.'
    case 'never': return 'Every request runs at most once.'
    case 'safe-methods': return 'GET and HEAD may run more than once; every other request runs at most once.'
    default: return assertNever(idempotency)
  }
}

function explainRetries ({ idempotency, attemptsMax, backoffBaseMs }: Profile): string {
  if (idempotency === 'never' || attemptsMax === 1) return 'A failed request is not tried again.'
  const which = idempotency === 'always' ? 'A failed request' : 'A failed GET or HEAD'
  return `${which} is tried up to ${attemptsMax} times in all, the second time after about ${formatMs(backoffBaseMs)}.`
}

function formatMs (ms: number): string {
  return ms >= 1000 ? `${ms / 1000} s` : `${ms} ms`
}

import { createKeyHash } from '../../edge/security/hash.js'
import { createTeamKey, parseTeamName } from '../../edge/security/team-key.js'
import { EXIT, buildDone, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'

/**
 * Makes a key for a team. The key is printed once and stored nowhere.
 *
 * @param team - team name
 * @returns the key and the line for the configuration file
 */
export function runTeamKey (team: string): CommandResult {
  const key = createTeamKey(team)
  if (parseTeamName(key) !== team) {
    return buildFailure(EXIT.badInput, `${JSON.stringify(team)} is not a team name: lower-case letters, digits and hyphens.`)
  }
  const { salt, hash } = createKeyHash(key)
  const stored = `${salt}:${hash}`
  const text = `Key for team ${team}, shown only once:\n${key}\n\nAdd this to keys of the team in the configuration file:\n"${stored}"\n`
  return buildDone(text, { team, key, stored })
}

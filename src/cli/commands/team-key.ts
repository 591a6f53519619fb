import { TEAM_PREFIX, createCredential, parseCredentialName } from '../../edge/security/credentials.js'
import { EXIT, buildDone, buildFailure } from '../result.js'
import type { CommandResult } from '../result.js'

/**
 * Makes a key for a team. The key is printed once and stored nowhere.
 *
 * @param team - team name
 * @returns the key and the line for the configuration file
 */
export function runTeamKey (team: string): CommandResult {
  const { text: key, stored } = createCredential(TEAM_PREFIX, team)
  if (parseCredentialName(TEAM_PREFIX, key) !== team) {
    return buildFailure(EXIT.badInput, `${JSON.stringify(team)} is not a team name: lower-case letters, digits and hyphens.`)
  }
  const text = `Key for team ${team}, shown only once:\n${key}\n\nAdd this to keys of the team in the configuration file:\n"${stored}"\n`
  return buildDone(text, { team, key, stored })
}

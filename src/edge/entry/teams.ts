import type { Team } from '../../kernel/document.js'
import type { ConfigurationPort } from '../../kernel/ports.js'
import { parseTeamName, verifyTeamKey } from '../security/team-key.js'

/** Scheme of the `authorization` header. */
const BEARER = 'Bearer '

/** Finds the team of a caller's credential. */
export class TeamAuthenticator {
  readonly #configuration: ConfigurationPort

  private constructor (configuration: ConfigurationPort) {
    this.#configuration = configuration
  }

  /**
   * @param configuration - holds teams and the hashes of their keys
   * @returns the check
   */
  static create (configuration: ConfigurationPort): TeamAuthenticator {
    return new TeamAuthenticator(configuration)
  }

  /**
   * @param authorization - value of the header
   * @returns the team; undefined when the credential is missing or wrong
   */
  authenticate (authorization: string | undefined): Team | undefined {
    if (authorization === undefined || !authorization.startsWith(BEARER)) return undefined
    const key = authorization.slice(BEARER.length)
    const name = parseTeamName(key)
    const team = name === undefined ? undefined : this.#configuration.findTeam(name)
    return team !== undefined && team.keys.some(hash => verifyTeamKey(key, hash)) ? team : undefined
  }
}

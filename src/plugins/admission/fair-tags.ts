/** Start-time fair queueing between teams: each team gets capacity in proportion to its weight, whatever it asks for. */

/** Virtual time and finish tags of one queue. */
export class FairTags {
  #virtualTime = 0
  readonly #finishByTeam = new Map<string, number>()

  private constructor () {}

  /** @returns tags without teams */
  static create (): FairTags {
    return new FairTags()
  }

  /** @returns the start tag that the next work of a team gets; the lowest tag starts first */
  computeStartTag (team: string): number {
    return Math.max(this.#virtualTime, this.#finishByTeam.get(team) ?? 0)
  }

  /**
   * Adds work of a team.
   *
   * @param team - name of the team
   * @param cost - size of the work over the weight of the team
   * @returns its start tag
   */
  add (team: string, cost: number): number {
    const startTag = this.computeStartTag(team)
    this.#finishByTeam.set(team, startTag + cost)
    return startTag
  }

  /** Takes back work that did not start; only the last work of its team changes the tag of the next one. */
  remove (team: string, startTag: number, cost: number): void {
    if (this.#finishByTeam.get(team) === startTag + cost) this.#finishByTeam.set(team, startTag)
  }

  /** Advances the virtual time to work that starts, and forgets teams that have no more than their share. */
  noteStarted (startTag: number): void {
    this.#virtualTime = Math.max(this.#virtualTime, startTag)
    for (const [team, finish] of this.#finishByTeam) {
      if (finish <= this.#virtualTime) this.#finishByTeam.delete(team)
    }
  }
}

/** Tells answers of the store of one era from those of another: revisions can be compared within one era only. */

/** How the era of an answer relates to what is known. */
export type EraRelation =
  /** The revision of the answer can be compared with the one that the caller continues from. */
  | 'same'
  /** The store came back from an older copy: revisions have gone back and are given out again. */
  | 'changed'
  /** The answer was given before the store came back, and arrived after the news of it. */
  | 'outdated'

/** Newest era of the store that any answer has shown to this process. */
export class EraTracker {
  readonly #handleChange: (era: number) => void
  #newest: number | undefined

  private constructor (handleChange: (era: number) => void) {
    this.#handleChange = handleChange
  }

  /**
   * @param handleChange - called with each era that is newer than one known before; not for the first
   * @returns a tracker that knows no era
   */
  static create (handleChange: (era: number) => void = () => {}): EraTracker {
    return new EraTracker(handleChange)
  }

  /** Newest era; undefined while no answer has named one. */
  get newest (): number | undefined {
    return this.#newest
  }

  /**
   * Records the era of an answer.
   *
   * @param era - era that the answer names; undefined when it names none
   * @param known - era of the revision that the caller continues from; undefined when that is not known
   * @returns how the answer relates to `known`; an answer without an era is taken as one of the same era
   */
  noteEra (era: number | undefined, known: number | undefined): EraRelation {
    if (era === undefined) return 'same'
    const previous = this.#newest
    if (previous !== undefined && era < previous) return 'outdated'
    if (previous === undefined || era > previous) this.#newest = era
    if (previous !== undefined && era > previous) this.#handleChange(era)
    return era === known ? 'same' : 'changed'
  }
}

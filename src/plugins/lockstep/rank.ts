/** State that a rank of a group reports, and orders that it accepts. */

/** State of one rank as it reports it. */
export interface RankState {
  readonly group: string
  /** Increases each time the group is formed; a new epoch discards the maps, preparations and holds of earlier ones. */
  readonly epoch: number
  readonly rank: number
  readonly size: number
  readonly isOpen: boolean
  /** Start time of the rank in Unix ms. */
  readonly bornMs: number
  /** Time that the rank needs for a given amount of work, relative to a healthy rank: 1 is normal, higher is slower. */
  readonly pace: number
  /** Last step begun; a step is one forward pass of the whole group. */
  readonly step: number
  /** Version of the map in use. */
  readonly map: number
  /** Version whose experts are copied and ready for use. */
  readonly prepared: number | undefined
  /** Version that the rank switches to at a step. */
  readonly armed: { readonly version: number, readonly step: number } | undefined
  /** Step that this rank holds: the group does not begin it until the hold is released. */
  readonly held: number | undefined
}

/** State of a rank as a coordinator read it. */
export interface RankReading extends RankState {
  /** Time at which the coordinator requested the state, in its monotonic ms. */
  readonly readAtMs: number
}

/** Experts by layer and rank. */
export type GroupMap = readonly (readonly (readonly number[])[])[]

/** Orders to a rank; each is valid for one epoch only. */
export type RankOrder =
  | { readonly kind: 'prepare', readonly version: number, readonly map: GroupMap }
  | { readonly kind: 'arm', readonly version: number, readonly step: number }
  | { readonly kind: 'disarm', readonly version: number }
  | { readonly kind: 'hold', readonly step: number }
  | { readonly kind: 'release', readonly step: number }

/** Result of an order. After `no-answer` the rank may still carry the order out seconds later. */
export type OrderResult = 'accepted' | 'done' | 'refused' | 'no-answer'

/** An order with the rank that it goes to and the epoch that it is valid for. */
export interface AddressedOrder {
  readonly rank: number
  readonly epoch: number
  readonly order: RankOrder
}

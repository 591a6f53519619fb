/** What a rank of a group says of itself and which orders it takes. */

/** State of one rank, read at one moment. */
export interface RankState {
  readonly group: string
  /** Rises each time the group is formed; maps, preparations and holds of earlier epochs are gone. */
  readonly epoch: number
  readonly rank: number
  readonly size: number
  readonly isOpen: boolean
  /** Start of the rank in Unix ms. */
  readonly bornMs: number
  /** Time that the rank needs for a piece of work, in times of a sound rank. */
  readonly pace: number
  /** Last pass that was begun. */
  readonly step: number
  /** Version of the map in use. */
  readonly map: number
  /** Version that is copied and ready. */
  readonly prepared: number | undefined
  /** Version that comes into use with a step. */
  readonly armed: { readonly version: number, readonly step: number } | undefined
  /** Step that the group does not begin until it is released. */
  readonly held: number | undefined
}

/** State of a rank as a keeper read it. */
export interface RankReading extends RankState {
  /** When the reading was asked for, in monotonic ms of the keeper. */
  readonly readAtMs: number
}

/** Experts by layer and rank. */
export type GroupMap = readonly (readonly (readonly number[])[])[]

/** Orders to a rank; each holds for one epoch only. */
export type RankOrder =
  | { readonly kind: 'prepare', readonly version: number, readonly map: GroupMap }
  | { readonly kind: 'arm', readonly version: number, readonly step: number }
  | { readonly kind: 'disarm', readonly version: number }
  | { readonly kind: 'hold', readonly step: number }
  | { readonly kind: 'release', readonly step: number }

/** How an order was answered. `no-answer` may still be carried out seconds later. */
export type OrderResult = 'accepted' | 'done' | 'refused' | 'no-answer'

/** An order with the rank that it goes to. */
export interface AddressedOrder {
  readonly rank: number
  readonly epoch: number
  readonly order: RankOrder
}

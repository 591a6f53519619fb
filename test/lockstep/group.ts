/** In-memory group of ranks that applies the engine's rules for steps, holds and orders. */

import type { AddressedOrder, GroupMap, RankReading } from '../../src/plugins/lockstep/rank.js'

interface Rank {
  map: number
  prepared: number | undefined
  armed: { version: number, step: number } | undefined
  held: number | undefined
  highestVersion: number
}

/** Group of ranks that run in lock-step. */
export class FakeGroup {
  readonly ranks: Rank[]
  readonly maps = new Map<number, GroupMap>()
  epoch = 1
  step = 0
  /** Steps that began with ranks on different map versions. */
  readonly mixedSteps: string[] = []

  private constructor (size: number) {
    this.ranks = Array.from({ length: size }, () => createRank())
  }

  static create (size: number): FakeGroup {
    return new FakeGroup(size)
  }

  /** Forms the group again in a new epoch, as after the crash of a rank. */
  restart (): void {
    this.epoch += 1
    this.step = 0
    this.ranks.forEach((_, rank) => { this.ranks[rank] = createRank() })
  }

  /** Begins the next step unless a rank holds it. */
  beginStep (): boolean {
    const next = this.step + 1
    if (this.ranks.some(rank => rank.held === next)) return false
    this.step = next
    for (const rank of this.ranks) {
      if (rank.armed?.step !== next) continue
      rank.map = rank.armed.version
      rank.armed = undefined
    }
    if (new Set(this.ranks.map(rank => rank.map)).size > 1) this.mixedSteps.push(`step ${next}: ${this.ranks.map(rank => rank.map).join(' ')}`)
    return true
  }

  /** Carries out an order by the engine's rules; returns whether it is accepted. */
  applyOrder ({ rank: index, epoch, order }: AddressedOrder): boolean {
    const rank = this.ranks[index]!
    if (epoch !== this.epoch) return false
    switch (order.kind) {
      case 'prepare':
        if (rank.prepared === order.version) return true
        if (order.version <= rank.highestVersion || rank.armed !== undefined) return false
        rank.highestVersion = order.version
        rank.prepared = order.version
        return true
      case 'arm':
        if (rank.prepared !== order.version || order.step <= this.step) return false
        rank.armed = { version: order.version, step: order.step }
        return true
      case 'disarm':
        if (rank.map === order.version) return false
        if (rank.armed?.version === order.version) rank.armed = undefined
        return true
      case 'hold':
        if (order.step <= this.step) return false
        rank.held = order.step
        return true
      case 'release':
        if (rank.held === order.step) rank.held = undefined
        return true
    }
  }

  read (index: number, readAtMs: number): RankReading {
    const { map, prepared, armed, held } = this.ranks[index]!
    return { group: 'g', epoch: this.epoch, rank: index, size: this.ranks.length, isOpen: true, bornMs: 0, pace: 1, step: this.step, map, prepared, armed: armed === undefined ? undefined : { ...armed }, held, readAtMs }
  }

  readAll (readAtMs: number): RankReading[] {
    return this.ranks.map((_, index) => this.read(index, readAtMs))
  }
}

function createRank (): Rank {
  return { map: 0, prepared: undefined, armed: undefined, held: undefined, highestVersion: 0 }
}

/** Bookings, orders and stock of the plain service stand-in. */

import { z } from 'zod'

/** Initial stock of each article in units. */
const STOCK_UNITS = 1_000_000

const bookingSchema = z.object({ board: z.string(), slot: z.string().default('any') })
const orderSchema = z.object({ sku: z.string(), units: z.number().int().min(1).default(1) })

/** A booking; each one is charged. */
export interface Booking {
  readonly id: string
  readonly board: string
  readonly slot: string
}

/** An order; each one is charged. */
export interface Order {
  readonly id: string
  readonly sku: string
  readonly units: number
}

/** State that every run of a non-idempotent request changes. */
export class Ledger {
  readonly #bookings = new Map<string, Booking>()
  readonly #sold = new Map<string, number>()
  #orderCount = 0

  private constructor () {}

  /** @returns an empty ledger */
  static create (): Ledger {
    return new Ledger()
  }

  /**
   * @param body - JSON text of a booking
   * @returns the new booking
   * @throws Error when the body is not a booking
   */
  addBooking (body: string): Booking {
    const booking = { id: `b${this.#bookings.size + 1}`, ...bookingSchema.parse(JSON.parse(body)) }
    this.#bookings.set(booking.id, booking)
    return booking
  }

  /**
   * @param id - booking id
   * @returns the booking, if it exists
   */
  findBooking (id: string): Booking | undefined {
    return this.#bookings.get(id)
  }

  /**
   * @param body - JSON text of an order
   * @returns the new order
   * @throws Error when the body is not an order
   */
  addOrder (body: string): Order {
    const order = orderSchema.parse(JSON.parse(body))
    this.#orderCount += 1
    this.#sold.set(order.sku, (this.#sold.get(order.sku) ?? 0) + order.units)
    return { id: `o${this.#orderCount}`, ...order }
  }

  /**
   * @param sku - article
   * @returns units in stock
   */
  countStock (sku: string): number {
    return STOCK_UNITS - (this.#sold.get(sku) ?? 0)
  }

  /** @returns counts of bookings and orders */
  describe (): { readonly bookings: number, readonly orders: number } {
    return { bookings: this.#bookings.size, orders: this.#orderCount }
  }
}

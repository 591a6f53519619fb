/** Ids of events, after which a stream can be resumed. */

declare const eventId: unique symbol

/** Number of an event in its stream; the only kind of id that is sent to an endpoint. */
export type EventId = number & { readonly [eventId]: true }

/** Largest id: exact as a number, and short enough for any head. */
const EVENT_ID_MAX = 10 ** 15 - 1

/** Decodes the text of an id; undefined when it is none. */
export type ParseEventId = (text: string) => EventId | undefined

/** Whether a number can be the id of an event. */
export function isEventId (value: number): value is EventId {
  return Number.isInteger(value) && value >= 0 && value <= EVENT_ID_MAX
}

/** Conversion of TOML keys (snake case) to field names (camel case). */

type CamelCase<S extends string> = S extends `${infer Head}_${infer Tail}` ? `${Head}${Capitalize<CamelCase<Tail>>}` : S

/** Type of a value after `convertToCamelCase`. */
export type CamelCased<T> = T extends readonly (infer E)[]
  ? readonly CamelCased<E>[]
  : T extends object ? { readonly [K in keyof T as K extends string ? CamelCase<K> : K]: CamelCased<T[K]> } : T

/**
 * @param value - parsed TOML value
 * @returns a copy in which the keys of all tables are in camel case
 */
export function convertToCamelCase<T> (value: T): CamelCased<T> {
  if (Array.isArray(value)) return value.map(element => convertToCamelCase<unknown>(element)) as CamelCased<T>
  if (typeof value !== 'object' || value === null) return value as CamelCased<T>
  const entries = Object.entries(value).map(([key, inner]) => [
    key.replace(/_([a-z0-9])/g, (_match, letter: string) => letter.toUpperCase()),
    convertToCamelCase<unknown>(inner)
  ])
  return Object.fromEntries(entries) as CamelCased<T>
}

/** The configuration in force at a gateway: routes, services and teams. */

import type { CallerLimits, GatewayConfiguration, Route, ServiceSpec, TeamRef } from '../../gateway/model.js'
import { registerPlugin } from '../../kernel/plugin.js'
import type { Plugin } from '../../kernel/plugin.js'
import type { Ports } from '../../kernel/ports.js'

/** Result of matching a request against the configuration. */
export type RouteDecision =
  | { readonly kind: 'unconfigured' }
  | { readonly kind: 'unknown-path', readonly version: number }
  | { readonly kind: 'unauthenticated', readonly version: number }
  | { readonly kind: 'allowed', readonly version: number, readonly route: Route, readonly team: TeamRef | undefined }

/** The configuration in force. */
export interface RoutesPort {
  /** Puts a version in force unless the same or a newer one already is. @returns whether it was put in force */
  accept (configuration: GatewayConfiguration): boolean
  getVersion (): number | undefined
  findLimits (): CallerLimits | undefined
  findService (name: string): ServiceSpec | undefined
  listServices (): readonly ServiceSpec[]
  decide (host: string, path: string, credential: string | undefined): RouteDecision
  /** Decides as for a request with a credential of the named team. */
  decideForTeam (host: string, path: string, team: string): RouteDecision
}

/** Matches requests to routes by host and path prefix. */
export class RoutesPlugin implements Plugin, RoutesPort {
  readonly name = 'routes'
  readonly subscribesTo = []
  readonly ports: Pick<Ports, 'routes'> = { routes: this }
  #current: GatewayConfiguration | undefined

  private constructor () {}

  /** @returns a plug-in without a configuration */
  static create (): RoutesPlugin {
    return new RoutesPlugin()
  }

  handle (): void {}

  accept (configuration: GatewayConfiguration): boolean {
    if (this.#current !== undefined && configuration.version <= this.#current.version) return false
    this.#current = configuration
    return true
  }

  getVersion (): number | undefined {
    return this.#current?.version
  }

  findLimits (): CallerLimits | undefined {
    return this.#current?.limits
  }

  findService (name: string): ServiceSpec | undefined {
    return this.#current?.services.get(name)
  }

  listServices (): readonly ServiceSpec[] {
    return [...this.#current?.services.values() ?? []]
  }

  decide (host: string, path: string, credential: string | undefined): RouteDecision {
    return this.#decide(host, path, teams => credential === undefined ? undefined : teams?.get(credential))
  }

  decideForTeam (host: string, path: string, team: string): RouteDecision {
    return this.#decide(host, path, teams => [...teams?.values() ?? []].find(({ name }) => name === team))
  }

  #decide (host: string, path: string, findTeam: (teams: GatewayConfiguration['teams']) => TeamRef | undefined): RouteDecision {
    const current = this.#current
    if (current === undefined) return { kind: 'unconfigured' }
    const { version } = current
    const route = current.routes.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
    if (route === undefined) return { kind: 'unknown-path', version }
    const team = findTeam(current.teams)
    if (current.teams !== undefined && !route.isPublic && team === undefined) return { kind: 'unauthenticated', version }
    return { kind: 'allowed', version, route, team }
  }
}

registerPlugin({ name: 'routes', roles: ['gateway'], create: () => RoutesPlugin.create() })

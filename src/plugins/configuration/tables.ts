import type { Configuration, EndpointSpec, Profile, Service, Team } from '../../kernel/configuration.js'

/** Lookup tables of one configuration. */
export class ConfigurationTables {
  readonly services: ReadonlyMap<string, Service>
  readonly servicesByModel: ReadonlyMap<string, Service>
  readonly profiles: ReadonlyMap<string, Profile>
  readonly teams: ReadonlyMap<string, Team>
  readonly endpoints: ReadonlyMap<string, EndpointSpec>
  readonly endpointsByService: ReadonlyMap<string, readonly EndpointSpec[]>
  /** Names of the failure domains that are in service. */
  readonly domainsInService: ReadonlySet<string>
  readonly drainingHosts: ReadonlySet<string>
  readonly regions: ReadonlyMap<string, string>

  private constructor (configuration: Configuration) {
    this.services = new Map(configuration.services.map(service => [service.name, service]))
    this.servicesByModel = new Map(configuration.services.flatMap(service => service.model === undefined ? [] : [[service.model, service]]))
    this.profiles = new Map(configuration.profiles.map(profile => [profile.name, profile]))
    this.teams = new Map(configuration.teams.map(team => [team.name, team]))
    this.endpoints = new Map(configuration.endpoints.map(endpoint => [endpoint.id, endpoint]))
    const byService = new Map<string, EndpointSpec[]>()
    for (const endpoint of configuration.endpoints) {
      const list = byService.get(endpoint.service)
      if (list === undefined) byService.set(endpoint.service, [endpoint])
      else list.push(endpoint)
    }
    this.endpointsByService = byService
    this.domainsInService = new Set(configuration.domains.filter(domain => domain.state === 'in').map(domain => domain.name))
    this.drainingHosts = new Set(configuration.drainingHosts)
    this.regions = new Map(configuration.domains.map(domain => [domain.name, domain.region]))
  }

  /**
   * @param configuration - an accepted configuration
   * @returns the tables of the configuration
   */
  static create (configuration: Configuration): ConfigurationTables {
    return new ConfigurationTables(configuration)
  }
}

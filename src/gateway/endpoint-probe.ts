/** Liveness probe of an endpoint: through the agent on its host, which is cheap, or else directly. */

import type { EndpointView } from '../plugins/gateway/endpoints.js'
import type { RankEngine } from './agent.js'
import type { GatewayContext } from './context.js'
import type { RankClient } from './rank-link.js'

/** Timeout in ms for an agent, which gets only a small share of a core. */
const AGENT_TIMEOUT_MS = 100

/** Probes endpoints with engines; others offer no request that does not occupy a slot. */
export class EndpointProbe {
  readonly #context: GatewayContext
  readonly #agents: Pick<RankClient, 'sendRequest'>
  readonly #engine: Pick<RankEngine, 'readState'>

  private constructor (context: GatewayContext, agents: Pick<RankClient, 'sendRequest'>, engine: Pick<RankEngine, 'readState'>) {
    this.#context = context
    this.#agents = agents
    this.#engine = engine
  }

  /**
   * @param context - shared context of the gateway
   * @param agents - client of the agents on the hosts of the endpoints
   * @param engine - client of the endpoints
   */
  static create (context: GatewayContext, agents: Pick<RankClient, 'sendRequest'>, engine: Pick<RankEngine, 'readState'>): EndpointProbe {
    return new EndpointProbe(context, agents, engine)
  }

  /** Probes every endpoint at which a request has waited longer than usual, and unresponsive or suspected ones. */
  checkAll (nowMs: number): void {
    for (const id of this.#context.liveness.decideUnanswered()) this.#context.log('endpoint-silent', { endpoint: id, domain: this.#context.endpoints.find(id)?.record.domain ?? '' })
    for (const exchange of this.#context.listExchanges()) {
      const endpoint = exchange.checkLiveness(nowMs)
      if (endpoint !== undefined) this.#probe(endpoint)
    }
    for (const id of this.#context.liveness.listDueProbes(nowMs)) {
      const endpoint = this.#context.endpoints.find(id)
      if (endpoint === undefined) this.#context.liveness.forget(id)
      else this.#probe(endpoint)
    }
  }

  #probe (endpoint: EndpointView): void {
    const { id, service } = endpoint.record
    if (this.#context.routes.findService(service)?.engine === undefined) return
    this.#isAlive(endpoint).then(isAlive => {
      if (isAlive) this.#context.noteActivity(endpoint)
      else this.#context.liveness.noteUnanswered(id, service)
    }, (error: unknown) => { this.#context.log('internal-error', { reason: String(error) }) })
  }

  async #isAlive ({ record: { address } }: EndpointView): Promise<boolean> {
    const reply = await this.#agents.sendRequest(address.host, { kind: 'read', wantsCounts: false, wantsMap: false }, AGENT_TIMEOUT_MS)
    // An agent may be down while its endpoint still works.
    return reply?.state !== undefined || await this.#engine.readState(address) !== undefined
  }
}

/** Asks an endpoint whether it is alive: by the agent on its host, which costs nothing, else the endpoint itself. */

import type { EndpointView } from '../plugins/gateway/endpoints.js'
import type { RankEngine } from './agent.js'
import type { GatewayContext } from './context.js'
import type { RankClient } from './rank-link.js'

/** Longest wait in ms for an agent; its process shares a small part of a core. */
const AGENT_TIMEOUT_MS = 100

/** Asks endpoints with engines; others have nothing that may be asked without a slot. */
export class EndpointProbe {
  readonly #context: GatewayContext
  readonly #agents: Pick<RankClient, 'ask'>
  readonly #engine: Pick<RankEngine, 'readState'>

  private constructor (context: GatewayContext, agents: Pick<RankClient, 'ask'>, engine: Pick<RankEngine, 'readState'>) {
    this.#context = context
    this.#agents = agents
    this.#engine = engine
  }

  /**
   * @param context - decisions and logs of the process
   * @param agents - client of the agents beside the endpoints
   * @param engine - client of the endpoints
   */
  static create (context: GatewayContext, agents: Pick<RankClient, 'ask'>, engine: Pick<RankEngine, 'readState'>): EndpointProbe {
    return new EndpointProbe(context, agents, engine)
  }

  /** Asks every endpoint at which a request waits for longer than usual, and silent ones again. */
  checkAll (nowMs: number): void {
    for (const exchange of this.#context.listExchanges()) {
      const endpoint = exchange.checkSilence(nowMs)
      if (endpoint !== undefined) this.#probe(endpoint)
    }
    for (const id of this.#context.silence.listDueProbes(nowMs)) {
      const endpoint = this.#context.endpoints.find(id)
      if (endpoint === undefined) this.#context.silence.forget(id)
      else this.#probe(endpoint)
    }
  }

  #probe (endpoint: EndpointView): void {
    const { id, service } = endpoint.record
    if (this.#context.routes.findService(service)?.engine === undefined) return
    this.#isAlive(endpoint).then(isAlive => {
      if (isAlive) this.#context.noteHeard(endpoint)
      else if (this.#context.silence.noteUnanswered(id, service, this.#context.getNowMs())) this.#context.log('endpoint-silent', { endpoint: id, domain: endpoint.record.domain })
    }, (error: unknown) => { this.#context.log('internal-error', { reason: String(error) }) })
  }

  async #isAlive ({ record: { address } }: EndpointView): Promise<boolean> {
    const reply = await this.#agents.ask(address.host, { kind: 'read', wantsCounts: false, wantsMap: false }, AGENT_TIMEOUT_MS)
    // An agent may be down while its endpoint works on.
    return reply?.state !== undefined || await this.#engine.readState(address) !== undefined
  }
}

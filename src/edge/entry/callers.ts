import { randomUUID } from 'node:crypto'
import { All, Controller, Get, Inject, Post, Req, Res } from '@nestjs/common'
import type { FastifyReply, FastifyRequest } from 'fastify'
import type { Either } from 'purify-ts'
import type { ErrorKind } from '../../kernel/errors.js'
import type { RequestReceived } from '../../kernel/events.js'
import type { ConfigurationPort } from '../../kernel/ports.js'
import type { Team } from '../../kernel/configuration.js'
import { verifyTeamHeader } from '../security/credentials.js'
import { CallerExchange } from './exchange.js'
import { CallerBridge } from './caller-bridge.js'
import { HeldBytes } from './held-bytes.js'
import { parseModelRequest, parseServiceRequest } from './request.js'
import type { CallerRequest } from './request.js'

/** Path under which plain services are reached. */
const SERVICES_PATH = '/services/'

/** Injection token of the configuration port in the entry's Nest module. */
export const CONFIGURATION_TOKEN = Symbol('configuration')

/** Injection token of the function that notes a request refused because too many are in flight. */
export const NOTE_LIMIT_TOKEN = Symbol('note-limit')

/** Routes for callers. */
@Controller()
export class CallersController {
  readonly #bridge: CallerBridge
  readonly #configuration: ConfigurationPort
  readonly #held: HeldBytes
  readonly #noteLimit: () => void

  constructor (@Inject(CallerBridge) bridge: CallerBridge, @Inject(CONFIGURATION_TOKEN) configuration: ConfigurationPort, @Inject(HeldBytes) held: HeldBytes, @Inject(NOTE_LIMIT_TOKEN) noteLimit: () => void) {
    this.#held = held
    this.#noteLimit = noteLimit
    this.#bridge = bridge
    this.#configuration = configuration
  }

  /** Chat completions; the body's `model` field names the service. */
  @Post('/v1/chat/completions')
  handleModel (@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
    this.#handleRequest(request, reply, '/v1/chat/completions', caller => parseModelRequest(caller, this.#configuration))
  }

  /** Any method and path of a plain service. */
  @All('/services/:service/*')
  handleService (@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
    const serviceAndPath = request.url.slice(SERVICES_PATH.length)
    const service = (request.params as Record<string, string>)['service'] ?? ''
    const path = serviceAndPath.slice(serviceAndPath.indexOf('/'))
    this.#handleRequest(request, reply, path, caller => parseServiceRequest(caller, service))
  }

  /** Tells callers which entries to use and for how long, with key tokens for the requested services. */
  @Get('/v1/address')
  async handleAddress (@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const exchange = this.#openExchange(reply)
    const team = this.#findTeam(request.headers.authorization)
    if (team === undefined) {
      this.#bridge.refuseRequest(exchange, 'unauthenticated', false)
      return
    }
    if (this.#refuseWhenFull(exchange, false)) return
    const requested = new URL(request.url, 'http://entry').searchParams.getAll('service')
    const services = requested.length > 0 ? requested.filter(service => team.services.includes(service)) : team.services
    const response = await this.#bridge.findAddress(services)
    if (response === undefined || response.addresses.length === 0) {
      this.#bridge.refuseRequest(exchange, 'no-endpoint', false)
      return
    }
    exchange.writeJson({
      addresses: response.addresses.map(address => ({ url: address.url, failure_domain: address.domain })),
      hold_ms: response.holdMs,
      key_tokens: response.tokens.map(token => ({ service: token.service, token: token.token, failure_domain: token.domain }))
    })
  }

  /** State of the request with an idempotency key. */
  @Get('/v1/outcome')
  async handleOutcome (@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const exchange = this.#openExchange(reply)
    const team = this.#findTeam(request.headers.authorization)
    const key = new URL(request.url, 'http://entry').searchParams.get('key')
    if (team === undefined || key === null) {
      this.#bridge.refuseRequest(exchange, team === undefined ? 'unauthenticated' : 'bad-request', true)
      return
    }
    if (this.#refuseWhenFull(exchange, true)) return
    exchange.writeJson({ key, state: await this.#bridge.findOutcome(team.name, key) })
  }

  /** Takes the response over from the framework, so that it can be streamed. */
  #openExchange (reply: FastifyReply): CallerExchange {
    reply.hijack()
    return CallerExchange.create(randomUUID(), reply.raw, this.#held)
  }

  #refuseWhenFull (exchange: CallerExchange, hasKey: boolean): boolean {
    if (!this.#bridge.isFull()) return false
    this.#noteLimit()
    this.#bridge.refuseRequest(exchange, 'overloaded', hasKey)
    return true
  }

  #findTeam (authorization: string | undefined): Team | undefined {
    return verifyTeamHeader(authorization, name => this.#configuration.findTeam(name))
  }

  #handleRequest (request: FastifyRequest, reply: FastifyReply, path: string, parse: (caller: CallerRequest) => Either<ErrorKind, RequestReceived>): void {
    const exchange = this.#openExchange(reply)
    const hasKey = request.headers['idempotency-key'] !== undefined
    const team = this.#findTeam(request.headers.authorization)
    if (team === undefined) {
      this.#bridge.refuseRequest(exchange, 'unauthenticated', hasKey)
      return
    }
    if (this.#refuseWhenFull(exchange, hasKey)) return
    const body = request.body instanceof Uint8Array ? request.body : new Uint8Array()
    const { requestId } = exchange
    parse({ requestId, team: team.name, method: request.method, path, headers: request.headers, body }).caseOf({
      Left: error => { this.#bridge.refuseRequest(exchange, error, hasKey) },
      Right: event => {
        if (!team.services.includes(event.service)) {
          const isKnown = this.#configuration.findService(event.service) !== undefined
          this.#bridge.refuseRequest(exchange, isKnown ? 'forbidden' : 'unknown-service', hasKey)
          return
        }
        reply.raw.on('close', () => { this.#bridge.handleCallerGone(requestId) })
        this.#bridge.acceptRequest(exchange, event)
      }
    })
  }
}

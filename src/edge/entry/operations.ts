import { Controller, Get, Inject, Req, Res } from '@nestjs/common'
import type { FastifyReply, FastifyRequest } from 'fastify'
import { Operations } from '../operations.js'

/** Routes for operators. */
@Controller()
export class OperationsController {
  readonly #operations: Operations

  constructor (@Inject(Operations) operations: Operations) {
    this.#operations = operations
  }

  /** Handles every path of the operations listener. */
  @Get('*')
  async handleGet (@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const path = new URL(request.url, 'http://entry').pathname
    const response = await this.#operations.handleRequest(path, request.headers.authorization)
    await reply.status(response.status).header('content-type', response.contentType).send(response.body)
  }
}

/** Writes the response of one completion as the batch runs its steps. */

import type { Call, StandinServer } from '../shared/server.js'
import type { EnginePriority, Sequence } from './batch.js'
import { STREAM_END, formatChunk, formatCompletion } from './request.js'
import type { CompletionRequest } from './request.js'

/** A prompt that contains this text crashes the engine at its first token. */
export const CRASH_TEXT = '__crash__'

/** Options of a stream. */
export interface StreamOptions {
  readonly call: Call
  readonly request: CompletionRequest
  readonly server: StandinServer
  /** Prefill steps before the first token. */
  readonly prefillSteps: number
  /** Number of chunks after which the connection is broken. */
  readonly breakAfterChunks: number | undefined
  /** Called when the prompt crashes the engine. */
  readonly onCrash: () => void
  /** Called once when the stream ends, unless the engine crashed before. */
  readonly onEnd: (result: 'finished' | 'cancelled') => void
}

/** Sequence that writes one chunk of its response per step. */
export class Stream implements Sequence {
  readonly priority: EnginePriority
  prefillSteps: number
  readonly #options: StreamOptions
  #index: number
  #sent = 0
  #isEnded = false

  private constructor (options: StreamOptions) {
    this.#options = options
    this.priority = options.request.priority
    this.prefillSteps = options.prefillSteps
    this.#index = Math.min(options.request.resumeFrom, options.request.maxTokens)
    options.call.response.once('close', () => { this.#end('cancelled') })
  }

  /**
   * @param options - call, request and callbacks
   * @returns a stream before its first step
   */
  static create (options: StreamOptions): Stream {
    return new Stream(options)
  }

  /** Ends the stream without calling `onEnd`, as a crash does. */
  abort (): void {
    this.#isEnded = true
  }

  runStep (): boolean {
    const { call, request, breakAfterChunks, onCrash } = this.#options
    if (this.#isEnded) return true
    if (request.prompt.includes(CRASH_TEXT)) {
      onCrash()
      return true
    }
    if (breakAfterChunks !== undefined && this.#sent >= breakAfterChunks) {
      call.request.socket.destroy()
      return true
    }
    if (request.stream && !call.response.headersSent) {
      call.response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    }
    if (this.#index < request.maxTokens) this.#sendChunk()
    if (this.#index < request.maxTokens) return false
    this.#sendEnd()
    return true
  }

  #sendChunk (): void {
    const { call, request, server } = this.#options
    if (request.stream && !server.isSilenced(call)) call.response.write(formatChunk(request, this.#index))
    this.#index += 1
    this.#sent += 1
  }

  #sendEnd (): void {
    const { call, request, server } = this.#options
    this.#end('finished')
    if (server.isSilenced(call)) return
    if (request.stream) call.response.end(STREAM_END)
    else call.response.writeHead(200, { 'content-type': 'application/json' }).end(formatCompletion(request))
  }

  #end (result: 'finished' | 'cancelled'): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#options.onEnd(result)
  }
}

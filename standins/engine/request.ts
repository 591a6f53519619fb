/** Completion requests to the engine stand-in and the format of their responses. */

import { z } from 'zod'
import { findHeader } from '../shared/server.js'
import type { Call } from '../shared/server.js'
import { computeToken, hashPrompt } from '../shared/text.js'
import type { EnginePriority } from './batch.js'

const DEFAULT_MAX_TOKENS = 16

const bodySchema = z.object({
  model: z.string().default('model'),
  messages: z.array(z.object({ content: z.string() })).default([]),
  prompt: z.string().optional(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).default(DEFAULT_MAX_TOKENS),
  resume_from: z.number().int().min(0).optional()
})

/** A parsed completion request. */
export interface CompletionRequest {
  readonly model: string
  readonly prompt: string
  readonly stream: boolean
  readonly maxTokens: number
  /** Number of chunks to skip at the start. */
  readonly resumeFrom: number
  readonly priority: EnginePriority
}

/**
 * @param call - call to `/v1/chat/completions`
 * @returns the request
 * @throws Error when the body is not a completion request
 */
export function parseCompletion (call: Call): CompletionRequest {
  const body = bodySchema.parse(JSON.parse(call.body))
  const header = findHeader(call, 'heatherdoor-resume-from')
  const priority = findHeader(call, 'heatherdoor-priority')
  return {
    model: body.model,
    prompt: body.prompt ?? body.messages.map(message => message.content).join('\n'),
    stream: body.stream,
    maxTokens: body.max_tokens,
    resumeFrom: header === undefined ? body.resume_from ?? 0 : Number(header),
    priority: priority === 'urgent' || priority === 'background' ? priority : 'normal'
  }
}

/**
 * Formats one server-sent event; every engine gives the same one for a request and index.
 *
 * @param request - the request
 * @param index - position of the chunk from 0
 * @returns the event with its terminating blank line
 */
export function formatChunk (request: CompletionRequest, index: number): string {
  const chunk = {
    id: `chatcmpl-${hashPrompt(request.prompt)}`,
    object: 'chat.completion.chunk',
    created: 0,
    model: request.model,
    choices: [{
      index: 0,
      delta: { content: computeToken(request.prompt, index) },
      finish_reason: index === request.maxTokens - 1 ? 'length' : null
    }]
  }
  return `data: ${JSON.stringify(chunk)}\n\n`
}

/** Last event of a complete stream. */
export const STREAM_END = 'data: [DONE]\n\n'

/**
 * @param request - the request
 * @returns response body of a request without streaming
 */
export function formatCompletion (request: CompletionRequest): string {
  const content = Array.from({ length: request.maxTokens }, (_, index) => computeToken(request.prompt, index)).join('')
  return JSON.stringify({
    id: `chatcmpl-${hashPrompt(request.prompt)}`,
    object: 'chat.completion',
    created: 0,
    model: request.model,
    choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'length' }],
    usage: { completion_tokens: request.maxTokens }
  })
}

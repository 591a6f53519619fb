/** TLS material from files, read again when the files are renewed. */

import { X509Certificate, createPrivateKey } from 'node:crypto'
import { readFileSync, statSync } from 'node:fs'
import { createSecureContext } from 'node:tls'
import type { SecureContextOptions } from 'node:tls'
import { buildConnector } from 'undici'
import type { DiallerTlsFiles } from '../../settings/process.js'

/** Interval at which files are looked at, in ms. */
const FILE_CHECK_INTERVAL_MS = 10_000

/** Options for a listener or for outbound connections. */
export type TlsOptions = SecureContextOptions & {
  /** Listeners only: whether clients must show a certificate. */
  readonly requestCert: boolean
  readonly rejectUnauthorized: true
}

/** A server whose certificate can be replaced while it runs. */
export interface RenewableServer {
  setSecureContext (options: SecureContextOptions): void
}

/** What a source is created with. */
export interface TlsSourceOptions {
  readonly files: DiallerTlsFiles
  /** Called after renewed files are in use. */
  readonly onReload?: () => void
  /** Called when renewed files cannot be used; the old ones stay in use. */
  readonly onError?: (reason: string) => void
  readonly checkIntervalMs?: number
}

/** TLS files of one listener or of one kind of outbound connection. */
export class TlsSource {
  readonly #options: TlsSourceOptions
  readonly #servers = new Set<RenewableServer>()
  #current: TlsOptions
  /** Version of the files that were read last, whether they could be used or not. */
  #version: string
  #timer: NodeJS.Timeout | undefined

  private constructor (options: TlsSourceOptions) {
    this.#options = options
    this.#version = readFilesVersion(options.files)
    this.#current = loadTlsOptions(options.files)
  }

  /**
   * Reads the files and starts to look for renewed ones.
   *
   * @param options - files and callbacks
   * @returns the source
   * @throws Error when a file is unreadable or the key does not belong to the certificate
   */
  static create (options: TlsSourceOptions): TlsSource {
    const source = new TlsSource(options)
    source.#timer = setInterval(() => { source.checkFiles() }, options.checkIntervalMs ?? FILE_CHECK_INTERVAL_MS)
    source.#timer.unref()
    return source
  }

  /** @returns the options in use; outbound connections ask for each new connection */
  getOptions (): TlsOptions {
    return this.#current
  }

  /**
   * Keeps the certificate of a listener up to date. Connections that stand are
   * not touched.
   *
   * @param server - created with `getOptions`
   */
  addServer (server: RenewableServer): void {
    this.#servers.add(server)
  }

  /**
   * Reads the files again when they changed. A certificate whose key is not
   * there yet is reported, and read again when one of the files changes.
   */
  checkFiles (): void {
    try {
      const version = readFilesVersion(this.#options.files)
      if (version === this.#version) return
      this.#version = version
      this.#current = loadTlsOptions(this.#options.files)
      for (const server of this.#servers) server.setSecureContext(this.#current)
    } catch (error) {
      this.#options.onError?.(error instanceof Error ? error.message : String(error))
      return
    }
    this.#options.onReload?.()
  }

  /** Stops to look for renewed files. */
  stop (): void {
    clearInterval(this.#timer)
  }
}

/** Opens the connections of an HTTP client. */
export type Connector = buildConnector.connector

/**
 * @param source - TLS files of the connections
 * @param timeoutMs - time limit of opening a connection in ms
 * @returns opens connections, each with the files that are in use at that time
 */
export function buildTlsConnector (source: TlsSource, timeoutMs: number): Connector {
  let optionsInUse = source.getOptions()
  let connect = buildConnector({ ...optionsInUse, timeout: timeoutMs })
  return (options, callback) => {
    const currentOptions = source.getOptions()
    if (currentOptions !== optionsInUse) {
      optionsInUse = currentOptions
      connect = buildConnector({ ...optionsInUse, timeout: timeoutMs })
    }
    connect(options, callback)
  }
}

/**
 * @param files - paths of the files
 * @returns options made of their content
 * @throws Error when a file is unreadable or the key does not belong to the certificate
 */
export function loadTlsOptions (files: DiallerTlsFiles): TlsOptions {
  const cert = files.certFile === undefined ? undefined : readFileSync(files.certFile)
  const key = files.keyFile === undefined ? undefined : readFileSync(files.keyFile)
  const ca = files.caFile === undefined ? undefined : readFileSync(files.caFile)
  if (cert !== undefined && key !== undefined && !new X509Certificate(cert).checkPrivateKey(createPrivateKey(key))) {
    throw new Error(`${files.keyFile ?? ''} is not the key of ${files.certFile ?? ''}`)
  }
  const options: TlsOptions = {
    minVersion: 'TLSv1.2',
    requestCert: ca !== undefined,
    rejectUnauthorized: true,
    ...(cert === undefined ? {} : { cert }),
    ...(key === undefined ? {} : { key }),
    ...(ca === undefined ? {} : { ca })
  }
  createSecureContext(options)
  return options
}

function readFilesVersion (files: DiallerTlsFiles): string {
  return Object.values(files)
    .map(file => statSync(file as string))
    .map(stat => `${stat.mtimeMs} ${stat.ino} ${stat.size}`)
    .join(', ')
}
